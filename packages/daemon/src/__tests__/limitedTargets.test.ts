/** Targets that name how many requests a second they take from the whole fleet. */
import * as chai from 'chai';
import * as clock from '../clock';
import type * as crashableTarget from './__fixtures__/crashableTarget';
import * as smallFleet from './__fixtures__/smallFleet';

const { expect } = chai;

/** In each such span, milliseconds, a target may get this part of what its limit allows, and so many messages more. */
const WINDOW_MS = 4_000;
const SHARE = 1.5;
const MORE = 5;

/** The limit holds from so long after it was first named, milliseconds. */
const TOLD_WITHIN_MS = 1_000;

const PER_SECOND = 1;

const ASK_EVERY_MS = 40;

/** One round of requests through all entries in turn. */
async function press(
  fleet: smallFleet.SmallFleet,
  question: Omit<smallFleet.Question, 'body'>,
  forMs: number,
): Promise<smallFleet.Reply[]> {
  const replies: Promise<smallFleet.Reply>[] = [];
  const end = clock.steady() + forMs;
  for (let i = 0; clock.steady() < end; i++) {
    const entry = i % smallFleet.ENTRIES;
    if (fleet.entries.has(entry)) replies.push(fleet.ask(entry, { ...question, body: `${i}` }));
    await clock.pause(ASK_EVERY_MS);
  }
  return Promise.all(replies);
}

function messagesOf(
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
    messagesOf(fleet, target, 0).length;
  return [...fleet.targets].sort((a, b) => sizeOf(b) - sizeOf(a)).slice(0, count);
}

/** Most messages that a target got within a window from `since` on. */
function mostInWindow(
  fleet: smallFleet.SmallFleet,
  target: crashableTarget.CrashableTarget,
  since: number,
): number {
  const times = messagesOf(fleet, target, since);
  const counts = times.map((from) => {
    return times.filter((at) => at >= from && at < from + WINDOW_MS).length;
  });
  return Math.max(0, ...counts);
}

const ALLOWED = (SHARE * PER_SECOND * WINDOW_MS) / 1_000 + MORE;

describe('targets that name a limit', () => {
  let fleet: smallFleet.SmallFleet;

  afterEach(async () => fleet.stop());

  /** Guards against a limit that nobody reads, or that each entry keeps to by itself. */
  (['engines', 'plain'] as const).forEach((service) => {
    it(`get no more from all entries together, as ${service}; the others serve the rest`, async () => {
      fleet = await smallFleet.SmallFleet.start(service);
      const kind = service === 'engines' ? 'streaming' : 'safe';
      await press(fleet, { service, kind }, 1_000);
      const limited = busiest(fleet, 2);
      limited.forEach((target) => Object.assign(target, { limit: PER_SECOND }));
      const since = clock.steady() + TOLD_WITHIN_MS;
      const replies = await press(fleet, { service, kind }, TOLD_WITHIN_MS + WINDOW_MS);
      const most = limited.map((target) => mostInWindow(fleet, target, since));
      expect(Math.max(...most)).to.be.at.most(ALLOWED);
      expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));
    });
  });
});
