/** How much of what targets with a rate limit get are requests of callers. */
import * as availability from './availability';
import type * as observations from './observations';

type Observations = observations.Observations;

/** Time after a target first reported its limit from which entries keep to it, milliseconds. */
const SETTLING_MS = 3_000;

/** Time after a fault or a back-off of a target, milliseconds; entries find out meanwhile that it is back. */
const RETURN_MS = 500;

export interface LimitUse {
  /** Messages that the targets got. */
  messages: number;
  /** Requests of callers among them. */
  requests: number;
}

/** What plain targets with a rate limit got in a period while they were available. */
export function during(observed: Observations, from: number, until: number): LimitUse {
  const indexes = availability.targetIndexes(observed, 'safe');
  const uses = observed.limited
    .filter(({ index }) => indexes.has(index))
    .map((limit) => useOf(observed, limit, { from, until }));
  return {
    messages: uses.reduce((sum, { messages }) => sum + messages, 0),
    requests: uses.reduce((sum, { requests }) => sum + requests, 0),
  };
}

function useOf(
  observed: Observations,
  { index, ...limit }: observations.LimitWindow,
  { from, until }: Record<'from' | 'until', number>,
): LimitUse {
  const lifetimes = new Set(
    observed.lifetimes.filter((each) => each.index === index).map(({ target }) => target),
  );
  const reports = observed.told.filter(({ target, at }) => {
    return lifetimes.has(target) && at >= limit.from && at <= limit.until;
  });
  const firstReportAt = Math.min(...reports.map(({ at }) => at));
  const begin = Math.max(from, firstReportAt + SETTLING_MS);
  const end = Math.min(until, limit.until);
  const isCounted = ({ target, at }: Record<'target', string> & Record<'at', number>): boolean => {
    if (!lifetimes.has(target) || at < begin || at > end) return false;
    return [at - RETURN_MS, at].every((each) => availability.isAvailable(observed, index, each));
  };
  const callers = new Set([...observed.asked, ...observed.crashers].map(({ request }) => request));
  const arrived = [...observed.ran, ...observed.refused].filter((each) => {
    return callers.has(each.request) && isCounted(each);
  });
  return { messages: observed.got.filter(isCounted).length, requests: arrived.length };
}
