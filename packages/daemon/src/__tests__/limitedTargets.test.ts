/** Targets that name how many requests a second they take from the whole fleet. */
import * as chai from 'chai';
import * as clock from '../clock';
import type * as crashableTarget from './__fixtures__/crashableTarget';
import * as fleetPool from './__fixtures__/fleetPool';
import * as smallFleet from './__fixtures__/smallFleet';

const { expect } = chai;

/** In each such span, milliseconds, a target may get this part of what its limit allows, and so many messages more. */
const WINDOW_MS = 4_000;
const TOLERANCE_FACTOR = 1.5;
const TOLERATED_EXTRA = 5;

/** The limit holds from so long after it was first named, milliseconds. */
const PROPAGATION_MS = 1_000;

const LIMIT_PER_SECOND = 1;

/** Nobody is refused later, milliseconds: about the part of a stream's time that may go by without a place. */
const MAX_WAIT_MS = 1_000;

function messageTimes(
  fleet: smallFleet.SmallFleet,
  target: crashableTarget.CrashableTarget,
  since: number,
): number[] {
  return fleet.messages
    .filter(({ name, at }) => target.id.startsWith(`${name}-`) && at >= since)
    .map(({ at }) => at);
}

/** The targets that got most. */
function busiest(fleet: smallFleet.SmallFleet, count: number): crashableTarget.CrashableTarget[] {
  const sizeOf = (target: crashableTarget.CrashableTarget): number =>
    messageTimes(fleet, target, 0).length;
  return [...fleet.targets].sort((a, b) => sizeOf(b) - sizeOf(a)).slice(0, count);
}

/** Most messages that a target got within a window from `since` on. */
function maxInWindow(
  fleet: smallFleet.SmallFleet,
  target: crashableTarget.CrashableTarget,
  since: number,
): number {
  const times = messageTimes(fleet, target, since);
  const counts = times.map((from) => {
    return times.filter((at) => at >= from && at < from + WINDOW_MS).length;
  });
  return Math.max(0, ...counts);
}

function setLimit(
  targets: readonly crashableTarget.CrashableTarget[],
  perSecond: number | undefined,
): void {
  targets.forEach((target) => Object.assign(target, { limit: perSecond }));
}

/** The same for the target that got most. */
function maxOfAllTargets(fleet: smallFleet.SmallFleet, since: number): number {
  return Math.max(...fleet.targets.map((target) => maxInWindow(fleet, target, since)));
}

/** Does the same on a fleet of engines and on one of plain targets, side by side. */
async function onBoth(
  act: (service: smallFleet.Service, kind: 'streaming' | 'safe') => Promise<void>,
): Promise<void> {
  await Promise.all([act('engines', 'streaming'), act('plain', 'safe')]);
}

const MAX_IN_WINDOW = (TOLERANCE_FACTOR * LIMIT_PER_SECOND * WINDOW_MS) / 1_000 + TOLERATED_EXTRA;

describe('targets that name a limit', () => {
  const fleetsOfSuite = new fleetPool.FleetPool({ engines: 5, plain: 4 });

  /** Guards against a limit that nobody reads, or that each entry keeps to by itself. */
  (['engines', 'plain'] as const).forEach((service) => {
    it(`get no more from all entries together, as ${service}; the others serve the rest`, async () => {
      const fleet = await fleetsOfSuite.take(service);
      const kind = service === 'engines' ? 'streaming' : 'safe';
      await fleet.sendLoad({ service, kind }, 1_000);
      const limited = busiest(fleet, 2);
      setLimit(limited, LIMIT_PER_SECOND);
      const since = clock.steady() + PROPAGATION_MS;
      const replies = await fleet.sendLoad({ service, kind }, PROPAGATION_MS + WINDOW_MS);
      const most = limited.map((target) => maxInWindow(fleet, target, since));
      expect(Math.max(...most)).to.be.at.most(MAX_IN_WINDOW);
      expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));
    });
  });

  /** Guards against callers that wait until their time is over, or are told to come back too soon, where all targets are in need. */
  it('all of them refuse the rest at once, and serve what they take', async () => {
    await onBoth(async (service, kind) => {
      const started = await fleetsOfSuite.take(service);
      setLimit(started.targets, LIMIT_PER_SECOND);
      await started.sendLoad({ service, kind }, PROPAGATION_MS);
      const since = clock.steady();
      const replies = await started.sendLoad({ service, kind }, WINDOW_MS);
      expect(maxOfAllTargets(started, since)).to.be.at.most(MAX_IN_WINDOW);
      const served = replies.filter(({ status }) => status === 200);
      const taken = (started.targets.length * LIMIT_PER_SECOND * WINDOW_MS) / 1_000;
      expect(served.length).to.be.at.least(taken / 2);
      const others = replies.filter(({ status }) => status !== 200);
      expect(new Set(others.map(({ status }) => status))).to.deep.equal(new Set([503]));
      expect(others.every(({ retryAfter }) => Number(retryAfter) > 0)).to.equal(true);
      expect(Math.max(...others.map(({ tookMs }) => tookMs))).to.be.below(MAX_WAIT_MS);
    });
  });

  /** Guards against a limit that is forgotten, or given out twice, when processes take over from each other. */
  it('are kept to through a change of leader, a restart and another id', async () => {
    await onBoth(async (service, kind) => {
      const started = await fleetsOfSuite.take(service);
      setLimit(started.targets, LIMIT_PER_SECOND);
      const since = clock.steady() + PROPAGATION_MS;
      const pressing = started.sendLoad({ service, kind }, 9_000);
      await clock.pause(2_000);
      await started.stopKeeper(started.leader);
      await started.targets[0].restart();
      await started.stopEntry(0);
      await started.startEntry(0);
      await pressing;
      expect(maxOfAllTargets(started, since)).to.be.at.most(MAX_IN_WINDOW);
    });
  });

  /** Guards against a crowd that comes back to targets in need, whose first answers are still to come. */
  it('are known to all entries after a loss of all, before any target has answered', async () => {
    const fleet = await fleetsOfSuite.take('engines');
    setLimit(fleet.targets, LIMIT_PER_SECOND);
    await fleet.sendLoad({ service: 'engines' }, PROPAGATION_MS);
    const known = [...fleet.keepers.values()].map((each) => each.gauges().limits);
    await fleet.restartAll();
    const kept = [...fleet.entries.values()].map((each) => each.gauges().limits);
    expect(Math.max(...known)).to.be.above(0);
    expect(kept).to.deep.equal(kept.map(() => Math.max(...known)));
  });

  /** Guards against a limit that stays when the target is well again. */
  it('get as much as before once they name it no more', async () => {
    const fleet = await fleetsOfSuite.take('engines');
    setLimit(fleet.targets, LIMIT_PER_SECOND);
    await fleet.sendLoad({ service: 'engines' }, PROPAGATION_MS);
    setLimit(fleet.targets, undefined);
    await fleet.sendLoad({ service: 'engines' }, 2_000);
    const replies = await fleet.sendLoad({ service: 'engines' }, 1_000);
    expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));
  });

  /** Guards against a target that stays out of use for good, as nobody asks it whether it still is in need. */
  it('are used again when they are well, also where others take all calls', async () => {
    const fleet = await fleetsOfSuite.take('plain');
    await fleet.sendLoad({ service: 'plain', kind: 'safe' }, 1_000);
    const limited = busiest(fleet, 1);
    setLimit(limited, LIMIT_PER_SECOND);
    await fleet.sendLoad({ service: 'plain', kind: 'safe' }, PROPAGATION_MS);
    setLimit(limited, undefined);
    await fleet.sendLoad({ service: 'plain', kind: 'safe' }, 5_000);
    const known = [...fleet.entries.values()].map((each) => each.gauges().limits);
    expect(known).to.deep.equal(known.map(() => 0));
  });
});
