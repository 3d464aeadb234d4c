/** Entries whose process ended, as the leader of the keepers sees them. */
import * as chai from 'chai';
import type * as domain from '@celerydrift/domain';
import type * as messages from '../../fleet/messages';
import type * as observer from '../../observability/observer';
import * as fixture from './__fixtures__/leaderFixture';

const { expect } = chai;

const ENGINE: domain.catalogue.catalogue.Engine = {
  ...{ slots: 100, memoryTokens: 1e6, stepsPerPass: 51, stepMs: 0.85, writerStepMs: 0.0062 },
  ...{ contextStepMs: 0.00285, readTokensPerMs: 177, pairMsPerMillion: 0.184 },
  ...{ chunkTokens: 2_048, hopMs: 0.05, usualAnswerTokens: 1_600 },
};

/** A request of entry `e0`. */
function requestOf(id: string): domain.allocation.allocator.Request {
  return {
    ...{ id, entry: 'e0', service: 's', tokens: 50, answerTokens: 50, objectiveMs: 300 },
    ...{ pauseMs: 1e6, waitedMs: 0, dataCentre: 'dc0', excluded: [] },
  };
}

describe('process of an entry', () => {
  let now: number;

  let leader: fixture.LeaderFixture['leader'];

  let lines: unknown[];

  beforeEach(async () => {
    now = 0;
    lines = [];
    const log = (event: string, fields: object): void => {
      if (event === 'entryProcessEnded') lines.push(fields);
    };
    const observe = { log, count: () => undefined } as unknown as observer.Observer;
    const setup = { followers: 0, answerMs: 0, now: () => now, observer: observe };
    ({ leader } = await fixture.leaderWithFollowers(setup));
    leader.allocator.setServices([
      { name: 's', healthPath: '/', maxConnections: 9, engine: ENGINE },
    ]);
    leader.allocator.observe({ ...fixture.announcement(0), slots: 100 });
  });

  async function poll(process?: string, more: Partial<messages.FollowRequest> = {}): Promise<void> {
    await leader.follow({ ...fixture.followRequest(0), process, ...more });
  }

  function place(count: number, placement = 1): void {
    for (let i = 0; i < count; i++) leader.allocator.place(requestOf(`r${i}/${placement}`), now);
  }

  /*
   * Guards against engines that are held by requests of a dead process: an entry that is back within a second polls
   * under the same name, so the leader never missed it and kept what it had granted to the earlier process.
   */
  it('releases and names the requests of one that another process replaced', async () => {
    await poll('a');
    place(25);
    place(1, 2);
    now = 900;
    await poll('b', { dispatches: [{ request: requestOf('new/1'), target: 't0' }] });
    await poll('a');
    expect([leader.allocator.size, leader.allocator.entryOf('new/1')]).to.deep.equal([1, 'e0']);
    const requests = Array.from({ length: 20 }, (_each, i) => `r${i}`);
    const ended = { entry: 'e0', process: 'a', lastPollMsAgo: 900, count: 25, requests };
    expect(lines).to.deep.equal([ended]);
  });

  // Guards against a slow restart, after which nobody knows any more what the earlier process had accepted.
  it('names the requests that were released while it was silent', async () => {
    await poll('a');
    place(2);
    now = 4_500;
    leader.tick();
    expect(leader.allocator.size).to.equal(0);
    now = 9_000;
    await poll('b');
    const requests = ['r0', 'r1'];
    const ended = { entry: 'e0', process: 'a', lastPollMsAgo: 9_000, count: 2, requests };
    expect(lines).to.deep.equal([ended]);
  });

  // Guards against alarms at each release of the program, and where a program states no process.
  it('is not reported after a planned stop, nor if it states no process', async () => {
    await poll('a', { isStopping: true });
    // The poll before, which arrives late.
    await poll('a');
    place(1);
    await poll('b');
    expect(leader.allocator.size).to.equal(0);
    await poll(undefined, { name: 'e1' });
    await poll(undefined, { name: 'e1' });
    expect(lines).to.deep.equal([]);
  });
});
