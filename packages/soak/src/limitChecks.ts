/** Checks that the limits and back-offs of targets are respected, and used for requests of callers. */
import * as faults from './faults';
import * as limitUse from './limitUse';
import type * as observations from './observations';
import type * as violation from './violation';

type Observations = observations.Observations;
type Violation = violation.Violation;

/** In each window of this length, a target may get at most the limit times a factor, plus a few messages. */
const LIMIT_WINDOW_MS = 4_000;
const LIMIT_FACTOR = 1.5;
const LIMIT_EXTRA_MESSAGES = 5;

/** An entry must respect what a target reports this long after the response that reported it. */
const REPORT_DELAY_MS = 500;

/** Messages that an entry may send to a target during the back-off that it requested. */
const MAX_DURING_BACK_OFF = 2;

/** Of the messages that limited targets get, this share are requests of callers, but for a few. */
const MIN_LIMIT_USE = { share: 1 / 2, base: 3 } as const;

export function limitOverruns(observed: Observations): Violation[] {
  return observed.limited.flatMap((span): Violation[] => {
    const { index, perSecond, from, until } = span;
    const lifetimes = new Set(
      observed.lifetimes.filter((each) => each.index === index).map(({ target }) => target),
    );
    const concernsSpan = ({ target, at }: observations.TargetExchange): boolean =>
      lifetimes.has(target) && at >= from && at <= until;
    const reports = observed.told.filter(concernsSpan);
    const firstReportAt = Math.min(...reports.map(({ at }) => at));
    const counted = observed.got
      .filter((each) => concernsSpan(each) && each.at >= firstReportAt + faults.SETTLING_MS)
      .filter((each) => mustRespectLimit(observed, reports, each))
      .map(({ at }) => at);
    const counts = counted.map((begin) => {
      return counted.filter((at) => at >= begin && at < begin + LIMIT_WINDOW_MS).length;
    });
    const maxCount = Math.max(0, ...counts);
    const allowed = LIMIT_FACTOR * perSecond * (LIMIT_WINDOW_MS / 1_000) + LIMIT_EXTRA_MESSAGES;
    if (maxCount <= allowed) return [];
    const detail = `target ${index}: limit ${perSecond.toFixed(2)} per second, ${maxCount} messages in 4 s`;
    return [{ promise: 'overLimit', detail }];
  });
}

/** Whether an entry had received a limit and has neither stopped nor been disturbed since. */
function mustRespectLimit(
  observed: Observations,
  reports: readonly observations.TargetExchange[],
  { entry, at }: observations.TargetExchange,
): boolean {
  return reports.some((each) => {
    const isReported = each.entry === entry && each.at <= at - REPORT_DELAY_MS;
    return isReported && faults.isUninterrupted(observed, entry, each.at, at);
  });
}

/** Whether a target answers what it received while it was paused; its entry has given that up. */
function wasPausedBefore(
  { disturbances, lifetimes }: Observations,
  target: string,
  at: number,
): boolean {
  const index = lifetimes.find((each) => each.target === target)?.index;
  return disturbances.some((each) => {
    const isOfTarget = each.subject === 'target' && each.index === index;
    return isOfTarget && each.what === 'targetPause' && isWithinTransit(each.until, at);
  });
}

function isWithinTransit(end: number, at: number): boolean {
  return Math.abs(at - end) <= faults.TRANSIT_MS;
}

/** Whether the caller had left before its request was rejected: its entry cancels it and reads no response. */
function hadCallerLeft(
  { asked }: Observations,
  { rejected, at }: observations.TargetExchange,
): boolean {
  return asked.some(({ request, endedAt }) => request === rejected && endedAt <= at);
}

export function backOffBreaches(observed: Observations): Violation[] {
  return observed.turnedAway.flatMap((rejection): Violation[] => {
    const { target, bornAt, entry, at, backOffSeconds = 0 } = rejection;
    if (wasPausedBefore(observed, target, at) || hadCallerLeft(observed, rejection)) return [];
    const during = observed.got.filter((each) => {
      const isSamePair = each.target === target && each.bornAt === bornAt && each.entry === entry;
      const isDuringBackOff =
        each.at > at + REPORT_DELAY_MS && each.at < at + backOffSeconds * 1_000;
      const isInTouch = faults.isUninterrupted(observed, entry, at, each.at);
      return isSamePair && isDuringBackOff && isInTouch && faults.hadPaths(observed, entry, at);
    });
    if (during.length <= MAX_DURING_BACK_OFF) return [];
    const detail = `${target}: ${during.length} messages from entry ${entry} in a back-off of ${backOffSeconds} s from ${at}`;
    return [{ promise: 'notLeftAlone', detail }];
  });
}

/**
 * What plain targets with a rate limit get while entries have no paths are requests of callers, whatever these entries send
 * there meanwhile.
 */
export function takenLimits(observed: Observations): Violation[] {
  return observed.severed.flatMap(({ from, until }): Violation[] => {
    const { messages, requests } = limitUse.during(observed, from + faults.PATH_LOSS_MS, until);
    const { share, base } = MIN_LIMIT_USE;
    if (requests >= share * messages - base) return [];
    const detail = `from ${from}: ${requests} of ${messages} messages are requests of callers`;
    return [{ promise: 'limitsTaken', detail }];
  });
}
