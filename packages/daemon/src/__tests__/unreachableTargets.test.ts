/** VMs that lose their paths to all targets, while callers and the other VMs still reach them. */
import * as chai from 'chai';
import * as clock from '../clock';
import * as fleetPool from './__fixtures__/fleetPool';
import type * as severablePaths from './__fixtures__/severablePaths';
import * as smallFleet from './__fixtures__/smallFleet';

const { expect } = chai;

/** Time after the loss from which such a VM serves its callers as the others do, milliseconds. */
const STABLE_MS = 3_000;

const LOAD_MS = 3_000;

/** A VM without paths may serve this share of what the others serve. */
const MIN_RELATIVE_SHARE = 2 / 3;

/** Share of the requests that the other VMs serve. */
const MIN_SHARE = 0.95;

function servedShare(replies: readonly smallFleet.Reply[], entries: readonly number[]): number {
  const sent = replies.filter(({ entryIndex }) => entries.includes(entryIndex));
  return sent.filter(({ status, isComplete }) => status === 200 && isComplete).length / sent.length;
}

/** Expects callers of the entries `severed` to be served about as often as those of the others. */
function expectServed(replies: readonly smallFleet.Reply[], severed: readonly number[]): void {
  const others = [0, 1, 2].filter((each) => !severed.includes(each));
  const share = servedShare(replies, others);
  expect(share).to.be.at.least(MIN_SHARE);
  expect(servedShare(replies, severed)).to.be.at.least(MIN_RELATIVE_SHARE * share);
}

describe('VMs without a path to any target', () => {
  // The other tests start their fleets themselves: the daemons of nine fleets at once starve each other's event loop.
  const pool = new fleetPool.FleetPool({ engines: 1, plain: 1 });

  const sever = (
    fleet: smallFleet.SmallFleet,
    entries: readonly number[],
    failure: severablePaths.Failure,
  ): void => entries.forEach((each) => fleet.paths[each].sever(failure));

  /** Loses the paths of some entries under load, and returns the replies to requests after `STABLE_MS`. */
  const serveWithout = async (
    fleet: smallFleet.SmallFleet,
    options: Omit<smallFleet.RequestOptions, 'body'>,
    { entries, failure }: { entries: readonly number[]; failure: severablePaths.Failure },
  ): Promise<smallFleet.Reply[]> => {
    await fleet.sendLoad(options, 500);
    sever(fleet, entries, failure);
    await fleet.sendLoad(options, STABLE_MS);
    return fleet.sendLoad(options, LOAD_MS);
  };

  (['silent', 'mute', 'refused', 'newRefused'] as const).forEach((failure) => {
    /** Guards against an entry that refuses its callers because its own paths to all targets are lost. */
    it(`serve callers as the other VMs do (${failure})`, async () => {
      const runs = (['engines', 'plain'] as const).map(async (service) => {
        const fleet = await pool.take(service);
        const kind = service === 'engines' ? 'streaming' : 'unsafe';
        const severed = [0, 1];
        const replies = await serveWithout(fleet, { service, kind }, { entries: severed, failure });
        expectServed(replies, severed);
        const runsOf = fleet.arrivals.map(({ request }) => request);
        if (kind === 'unsafe') expect(new Set(runsOf).size).to.equal(runsOf.length);
      });
      await Promise.all(runs);
    });
  });

  /** Guards against an entry that needs the leader to find a way around its lost paths. */
  it('serve callers without a leader', async () => {
    const fleet = await pool.take('engines');
    const options = { service: 'engines', kind: 'streaming' } as const;
    await fleet.sendLoad(options, 500);
    const leader = fleet.leader;
    await fleet.stopKeeper(leader);
    await fleet.stopKeeper((leader + 1) % 3);
    await clock.sleep(100);
    sever(fleet, [0, 1], 'silent');
    await fleet.sendLoad({ ...options, key: 'k' }, 1_000);
    const replies = await fleet.sendLoad(options, 1_500);
    expectServed(replies, [0, 1]);
  });
});
