/** What an entry reports of its dispatches to the leader. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import { Err } from 'ts-results';
import * as clock from '../../clock';
import type * as leaderLink from '../../fleet/leaderLink';
import type * as messages from '../../fleet/messages';
import type * as placementChoice from '../placementChoice';
import * as dispatchReports from '../dispatchReports';
import * as leaderPlacement from '../leaderPlacement';

const { expect } = chai;

/** Longer than reports are collected, and than the interval at which they are tried again, milliseconds. */
const REPORTED_MS = 250;

describe('reports of dispatches', () => {
  let sent: messages.FinishedDispatch[];

  const link = { leader: 'k1' };

  const reports = new dispatchReports.DispatchReports({
    fleetState: { registry: new domain.registry.registry.Registry() },
    link,
    client: {
      notify: (_address, _method, content) => {
        sent.push(...(content as messages.FinishedDispatches).dispatches);
      },
    },
  });

  beforeEach(() => {
    sent = [];
    link.leader = 'k1';
  });

  // Guards against slots that the leader keeps for requests whose answer was lost with their connection.
  it('withdraw a placement that the leader may have made', async () => {
    const lost = { kind: 'unreachable', mayHaveArrived: true, address: 'k1', method: 'place' };
    const placement = new leaderPlacement.LeaderPlacement({
      ...{ name: 'e0', dataCentre: 'dc0', reports, now: clock.steady },
      link: {
        ...{ leader: 'k1', confirmationAgeMs: 0, unansweredMs: 0 },
        ...{ probe: async () => undefined, onLost: () => () => true },
        reportFailure: () => undefined,
      } as unknown as leaderLink.LeaderLink,
      client: { call: async () => Err({ ...lost, detail: 'reset' }) as never },
    });
    const request = { id: 'r1/1', objectiveMs: 300, patienceMs: 100 };
    const deadlines = { until: clock.steady() + 100, leavesAt: Infinity };
    const choice = await placement.place(request as placementChoice.PlacementRequest, deadlines);
    await clock.sleep(REPORTED_MS);
    expect(choice).to.equal(undefined);
    expect(sent).to.deep.equal([{ id: 'r1/1', ending: 'cancelled', target: '' }]);
  });

  // Guards against slots that a leader keeps that was taken for lost for a moment when their requests ended.
  it('wait for a leader', async () => {
    link.leader = '';
    reports.report('r2/1', { target: 't1' }, 'done');
    await clock.sleep(REPORTED_MS);
    expect(sent).to.deep.equal([]);
    link.leader = 'k1';
    await clock.sleep(REPORTED_MS);
    expect(sent.map(({ id }) => id)).to.deep.equal(['r2/1']);
  });
});
