/** Quarantine of prompts that crash every engine, when one daemon receives them repeatedly. */
import * as chai from 'chai';
import type * as execution from '../execution';
import * as promptQuarantine from '../promptQuarantine';

const { expect } = chai;

type Prompt = Parameters<promptQuarantine.PromptQuarantine['status']>[0];

function prompt(text: string): Prompt {
  const tenant = {
    team: 'pits',
    organisation: { name: 'north' },
  } as execution.ModelRequest['tenant'];
  const model = { base: 'm', adapter: '', version: '1' } as execution.ModelRequest['model'];
  return { prompt: text, tenant, model };
}

describe('quarantine of prompts in a daemon', () => {
  /*
   * Guards against a prompt that crashes three more engines each time it is resent: each request had its own retry
   * limit, and nothing was kept between requests.
   */
  it('quarantines a prompt that lost three engines, counted across requests', () => {
    let now = 0;
    const quarantine = new promptQuarantine.PromptQuarantine(() => now);
    const [crashing, other] = [prompt('crashes'), prompt('another')];
    const statuses = [1, 2, 3, 4].map((run) => {
      const status = quarantine.status(crashing);
      now += 1_000;
      const target = { name: `engine-${run}`, incarnation: 1 };
      const isTrial = status !== 'free';
      if (status !== 'quarantined')
        quarantine.reportEngineLoss(crashing, { target, sentAt: now, isTrial });
      return status;
    });
    expect(statuses).to.deep.equal(['free', 'suspected', 'suspected', 'quarantined']);
    expect(quarantine.status(other)).to.equal('free');
    now += 120_000;
    expect(quarantine.status(crashing)).to.equal('suspected');
  });

  it('clears the suspicion once the prompt gets a complete answer', () => {
    const quarantine = new promptQuarantine.PromptQuarantine(() => 0);
    const target = { name: 'engine-1', incarnation: 1 };
    quarantine.reportEngineLoss(prompt('a'), { target, sentAt: 0, isTrial: false });
    expect(quarantine.status(prompt('a'))).to.equal('suspected');
    quarantine.clearSuspicion(prompt('a'));
    expect(quarantine.status(prompt('a'))).to.equal('free');
  });
});
