/** The load of several times what a process can bear, as when most new connections arrive at one VM. */
import * as chai from 'chai';
import * as concurrencyLimit from '../concurrencyLimit';

const { expect } = chai;

/** Work of a request in the turn in which it is read, and in each of the turns in which its stream goes on. */
const READ_MS = 2;
const EVENT_MS = 0.25;
const EVENTS = 30;
const EVENT_INTERVAL_MS = 50;

/** Requests per second that the process can bear: a second has room for the work of so many. */
const CAPACITY_PER_SECOND = 1_000 / (READ_MS + EVENTS * EVENT_MS);

/** Callers leave if their request hasn't been read by then, or if a stream pauses that long. */
const PATIENCE_MS = 1_000;
const MAX_PAUSE_MS = 250;

/** Share of what is read, and of what is served without overload, that must be in time. */
const SERVED_SHARE = 0.75;

const SAMPLE_MS = 25;
const RUN_MS = 12_000;

interface Stream {
  eventsLeft: number;
  nextEventAt: number;
  isInTime: boolean;
}

interface Outcome {
  read: number;
  inTime: number;
  refused: number;
}

/**
 * An event loop: each turn accepts one connection, reads its request, and sends the events that are due. With a limit the
 * listener is closed while there are too many requests, and waiting connections are refused.
 */
function run(perSecond: number, limit: concurrencyLimit.ConcurrencyLimit | undefined): Outcome {
  const outcome = { read: 0, inTime: 0, refused: 0 };
  let queue: number[] = [];
  let streams: Stream[] = [];
  let [now, arrivals, sampledAt, busyMs, backlogSince] = [0, 0, 0, 0, 0];
  while (now < RUN_MS) {
    for (; arrivals * 1_000 < now * perSecond; arrivals++)
      queue.push((arrivals * 1_000) / perSecond);
    if (limit !== undefined && streams.length >= limit.value) {
      outcome.refused += queue.length;
      queue = [];
    }
    const startedAt = now;
    const arrivedAt = queue.shift();
    if (arrivedAt === undefined) backlogSince = now;
    else {
      now += READ_MS;
      outcome.read += 1;
      if (startedAt - arrivedAt <= PATIENCE_MS) {
        streams.push({ eventsLeft: EVENTS, nextEventAt: now + EVENT_INTERVAL_MS, isInTime: true });
      }
    }
    const due = streams.filter(({ nextEventAt }) => nextEventAt <= startedAt);
    due.forEach((stream) => {
      now += EVENT_MS;
      stream.isInTime &&= now - stream.nextEventAt <= MAX_PAUSE_MS;
      stream.eventsLeft -= 1;
      stream.nextEventAt = now + EVENT_INTERVAL_MS;
    });
    const ended = streams.filter(({ eventsLeft }) => eventsLeft === 0);
    outcome.inTime += ended.filter(({ isInTime }) => isInTime).length;
    streams = streams.filter(({ eventsLeft }) => eventsLeft > 0);
    busyMs += now - startedAt;
    if (now - sampledAt >= SAMPLE_MS) {
      const utilisation = Math.min(1, busyMs / (now - sampledAt));
      const delayMs = Math.max(0, now - sampledAt - SAMPLE_MS);
      limit?.sample(
        { backlogMs: now - backlogSince, delayMs, utilisation, active: streams.length },
        now,
      );
      [sampledAt, busyMs] = [now, 0];
    }
    if (now === startedAt) now += 1;
  }
  return outcome;
}

describe('concurrency limit', () => {
  /** Guards against a VM that serves fewer requests the more connections arrive. */
  [2, 5, 10].forEach((factor) => {
    it(`keeps three quarters of the requests in time at ${factor} times the load that a process can bear`, () => {
      const bearable = run(CAPACITY_PER_SECOND, undefined);
      const limited = run(factor * CAPACITY_PER_SECOND, new concurrencyLimit.ConcurrencyLimit());
      expect(limited.inTime / bearable.inTime).to.be.at.least(SERVED_SHARE);
      expect(limited.inTime / limited.read).to.be.at.least(SERVED_SHARE);
    });
  });

  it('limits nothing at three quarters of what a process can bear', () => {
    const limit = new concurrencyLimit.ConcurrencyLimit();
    expect(run(0.75 * CAPACITY_PER_SECOND, limit).refused).to.equal(0);
    expect(limit.isLimited).to.equal(false);
  });

  /** Guards against an idle VM that refuses callers for seconds, as its open requests are far above the limit. */
  it('has room again within a second above the requests that an idle process bears', () => {
    const limit = new concurrencyLimit.ConcurrencyLimit();
    const busy = { backlogMs: 200, delayMs: 0, utilisation: 1, active: 1 };
    expect(limit.sample(busy, 0)).to.equal('began');
    const idle = { backlogMs: 0, delayMs: 0, utilisation: 0.02, active: 40 };
    for (let now = SAMPLE_MS; now <= 1_000; now += SAMPLE_MS) limit.sample(idle, now);
    expect(limit.hasRoom(idle.active)).to.equal(true);
  });

  /** Guards against a VM that refuses callers after a freeze, or a long collection of garbage. */
  it('does not begin with a single long delay, and ends two seconds after it was last reached', () => {
    const limit = new concurrencyLimit.ConcurrencyLimit();
    const idle = { backlogMs: 0, delayMs: 0, utilisation: 0.3, active: 50 };
    const delays = [0, 5_000, 0, 0, 3_000, 0];
    delays.forEach((delayMs, i) => limit.sample({ ...idle, delayMs }, SAMPLE_MS * i));
    expect(limit.isLimited).to.equal(false);
    expect(limit.sample({ ...idle, backlogMs: 200 }, 1_000)).to.equal('began');
    expect(limit.sample({ ...idle, active: 10 }, 2_900)).to.equal('none');
    expect(limit.sample({ ...idle, active: 10 }, 3_000)).to.equal('ended');
  });
});
