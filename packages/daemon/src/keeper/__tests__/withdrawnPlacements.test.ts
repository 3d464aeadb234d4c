/** Requests for placements that reach the leader after their entries have given them up. */
import * as chai from 'chai';
import type * as domain from '@celerydrift/domain';
import type * as messages from '../../fleet/messages';
import * as fixture from './__fixtures__/leaderFixture';

const { expect } = chai;

const ENGINE: domain.catalogue.catalogue.Engine = {
  ...{ slots: 100, memoryTokens: 1e6, stepsPerPass: 51, stepMs: 0.85, writerStepMs: 0.0062 },
  ...{ contextStepMs: 0.00285, readTokensPerMs: 177, pairMsPerMillion: 0.184 },
  ...{ chunkTokens: 2_048, hopMs: 0.05, usualAnswerTokens: 1_600 },
};

const REQUEST: messages.PlaceRequest = {
  ...{ id: 'r1/1', entry: 'e0', service: 's', tokens: 50, answerTokens: 50, objectiveMs: 300 },
  ...{ pauseMs: 1e6, waitedMs: 0, dataCentre: 'dc0', excluded: [], patienceMs: 100 },
};

describe('a request for a placement', () => {
  async function leaderWithEngine(): Promise<fixture.LeaderFixture['leader']> {
    const { leader } = await fixture.leaderWithFollowers({ followers: 0, answerMs: 0 });
    leader.allocator.setServices([
      { name: 's', healthPath: '/', maxConnections: 9, engine: ENGINE },
    ]);
    leader.allocator.observe({ ...fixture.announcement(0), slots: 100 });
    return leader;
  }

  // Guards against slots of engines that stay taken, as a cut held up a request that its entry has given up since.
  it('takes no slot if it arrives after its entry has withdrawn it', async () => {
    const leader = await leaderWithEngine();
    leader.ended({ dispatches: [{ id: REQUEST.id, ending: 'cancelled', target: '' }] });
    expect((await leader.place(REQUEST)).kind).to.equal('redirect');
    expect(leader.allocator.size).to.equal(0);
    expect((await leader.place({ ...REQUEST, id: 'r1/2' })).kind).to.equal('placed');
    expect(leader.allocator.size).to.equal(1);
  });
});
