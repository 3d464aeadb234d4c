/** Targets that report a rate limit: the requests a second that they accept from the whole fleet. */
import * as chai from 'chai';
import * as clock from '../clock';
import type * as crashableTarget from './__fixtures__/crashableTarget';
import * as fleetPool from './__fixtures__/fleetPool';
import * as smallFleet from './__fixtures__/smallFleet';

const { expect } = chai;

/** In any such window a target may get the factor times what its limit allows, plus the extra messages. */
const WINDOW_MS = 4_000;
const TOLERANCE_FACTOR = 1.5;
const TOLERATED_EXTRA = 5;

/** Time after the first report of a limit from which all entries respect it. */
const PROPAGATION_MS = 1_000;

const LIMIT_PER_SECOND = 1;

/** Longest time until a refusal: about the share of a stream's timeout that it may wait for a placement. */
const MAX_WAIT_MS = 1_000;

/** When a target received messages, from `since` on. */
function messageTimes(
  fleet: smallFleet.SmallFleet,
  target: crashableTarget.CrashableTarget,
  since: number,
): number[] {
  return fleet.messages
    .filter(({ name, at }) => target.id.startsWith(`${name}-`) && at >= since)
    .map(({ at }) => at);
}

/** The targets that received most messages. */
function busiest(fleet: smallFleet.SmallFleet, count: number): crashableTarget.CrashableTarget[] {
  const messageCount = (target: crashableTarget.CrashableTarget): number =>
    messageTimes(fleet, target, 0).length;
  return [...fleet.targets].sort((a, b) => messageCount(b) - messageCount(a)).slice(0, count);
}

/** The largest number of messages that a target received within one window, from `since` on. */
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

/** The largest number of messages that any target received within one window, from `since` on. */
function maxOfAllTargets(fleet: smallFleet.SmallFleet, since: number): number {
  return Math.max(...fleet.targets.map((target) => maxInWindow(fleet, target, since)));
}

/** Runs the same steps for engines and for plain targets, concurrently. */
async function onBoth(
  run: (service: smallFleet.Service, kind: 'streaming' | 'safe') => Promise<void>,
): Promise<void> {
  await Promise.all([run('engines', 'streaming'), run('plain', 'safe')]);
}

const MAX_IN_WINDOW = (TOLERANCE_FACTOR * LIMIT_PER_SECOND * WINDOW_MS) / 1_000 + TOLERATED_EXTRA;

describe('targets that report a rate limit', () => {
  const pool = new fleetPool.FleetPool({ engines: 5, plain: 4 });

  /** Guards against a limit that is ignored, or that each entry applies separately. */
  (['engines', 'plain'] as const).forEach((service) => {
    it(`get no more requests than it allows from all entries together, as ${service} targets, and the others serve the rest`, async () => {
      const fleet = await pool.take(service);
      const kind = service === 'engines' ? 'streaming' : 'safe';
      await fleet.sendLoad({ service, kind }, 1_000);
      const limited = busiest(fleet, 2);
      setLimit(limited, LIMIT_PER_SECOND);
      const since = clock.steady() + PROPAGATION_MS;
      const replies = await fleet.sendLoad({ service, kind }, PROPAGATION_MS + WINDOW_MS);
      const counts = limited.map((target) => maxInWindow(fleet, target, since));
      expect(Math.max(...counts)).to.be.at.most(MAX_IN_WINDOW);
      expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));
    });
  });

  /** Guards against callers that wait until their timeout, or retry too soon, if all targets are limited. */
  it('refuse the rest immediately if all are limited, and serve what they accept', async () => {
    await onBoth(async (service, kind) => {
      const fleet = await pool.take(service);
      setLimit(fleet.targets, LIMIT_PER_SECOND);
      await fleet.sendLoad({ service, kind }, PROPAGATION_MS);
      const since = clock.steady();
      const replies = await fleet.sendLoad({ service, kind }, WINDOW_MS);
      expect(maxOfAllTargets(fleet, since)).to.be.at.most(MAX_IN_WINDOW);
      const served = replies.filter(({ status }) => status === 200);
      const accepted = (fleet.targets.length * LIMIT_PER_SECOND * WINDOW_MS) / 1_000;
      expect(served.length).to.be.at.least(accepted / 2);
      const refused = replies.filter(({ status }) => status !== 200);
      expect(new Set(refused.map(({ status }) => status))).to.deep.equal(new Set([503]));
      expect(refused.every(({ retryAfter }) => Number(retryAfter) > 0)).to.equal(true);
      expect(Math.max(...refused.map(({ tookMs }) => tookMs))).to.be.below(MAX_WAIT_MS);
    });
  });

  /** Guards against a limit that is forgotten, or granted twice, when processes take over from each other. */
  it('have their limit respected when the leader changes, an entry restarts and a target gets a new id', async () => {
    await onBoth(async (service, kind) => {
      const fleet = await pool.take(service);
      setLimit(fleet.targets, LIMIT_PER_SECOND);
      const since = clock.steady() + PROPAGATION_MS;
      const load = fleet.sendLoad({ service, kind }, 9_000);
      await clock.sleep(2_000);
      await fleet.stopKeeper(fleet.leader);
      await fleet.targets[0].restart();
      await fleet.stopEntry(0);
      await fleet.startEntry(0);
      await load;
      expect(maxOfAllTargets(fleet, since)).to.be.at.most(MAX_IN_WINDOW);
    });
  });

  /** Guards against a burst at limited targets after a restart of all processes, before their first responses. */
  it('are known to all entries after a restart of all processes, before any target has responded', async () => {
    const fleet = await pool.take('engines');
    setLimit(fleet.targets, LIMIT_PER_SECOND);
    await fleet.sendLoad({ service: 'engines' }, PROPAGATION_MS);
    const limitCounts = [...fleet.keepers.values()].map((each) => each.gauges().limits);
    await fleet.restartAll();
    const restored = [...fleet.entries.values()].map((each) => each.gauges().limits);
    expect(Math.max(...limitCounts)).to.be.above(0);
    expect(restored).to.deep.equal(restored.map(() => Math.max(...limitCounts)));
  });

  /** Guards against a limit that stays in force after the target has recovered. */
  it('get as many requests as before once they no longer report a limit', async () => {
    const fleet = await pool.take('engines');
    setLimit(fleet.targets, LIMIT_PER_SECOND);
    await fleet.sendLoad({ service: 'engines' }, PROPAGATION_MS);
    setLimit(fleet.targets, undefined);
    await fleet.sendLoad({ service: 'engines' }, 2_000);
    const replies = await fleet.sendLoad({ service: 'engines' }, 1_000);
    expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));
  });

  /** Guards against a target that is never used again, because nothing checks whether it is still limited. */
  it('are used again when they have recovered, even if other targets could serve all calls', async () => {
    const fleet = await pool.take('plain');
    await fleet.sendLoad({ service: 'plain', kind: 'safe' }, 1_000);
    const limited = busiest(fleet, 1);
    setLimit(limited, LIMIT_PER_SECOND);
    await fleet.sendLoad({ service: 'plain', kind: 'safe' }, PROPAGATION_MS);
    setLimit(limited, undefined);
    await fleet.sendLoad({ service: 'plain', kind: 'safe' }, 5_000);
    const limitCounts = [...fleet.entries.values()].map((each) => each.gauges().limits);
    expect(limitCounts).to.deep.equal(limitCounts.map(() => 0));
  });
});
