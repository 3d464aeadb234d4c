/**
 * The ways of placing a request on a target that were weighed against each other. All see the same
 * beliefs; they differ in which targets they consider, what they compare, and whether they hold a
 * request back until a target is nearly free. docs/decisions/0005 has the comparison.
 */
import * as random from '../shared/random';
import * as band from './band';
import * as estimate from './estimate';

/** A request to be placed. */
export interface Job {
  id: string;
  band: band.Band;
  /** Estimated prompt tokens. */
  tokens: number;
  /** Tokens of memory it will hold at its end. */
  memoryTokens: number;
}

/** A target that serves the job's model and isn't leaving, excluded or broken. */
export interface Candidate {
  name: string;
  estimate: estimate.Estimate;
  /** Round trip beyond that to the own data centre, in milliseconds. */
  distanceMs: number;
  /** Prompt tokens believed cached there. */
  cachedTokens: number;
  /** Band that the elastic plan gives it. */
  band: band.Band;
  memoryTokens: number;
}

export interface Placement {
  target: string;
  /** Priority told to the engine; lower is served first. */
  enginePriority: number;
  predictedMs: number;
}

export interface Policy {
  readonly name: string;
  /** Where to send the job now, or undefined to let it wait. */
  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined;
}

const ENGINE_PRIORITY: band.PerBand<number> = { short: 0, medium: 1, long: 2 };

/** Same priority for all: what a policy sends that doesn't use the engine's own. */
const NEUTRAL_PRIORITY = 1;

function fits(job: Job, candidate: Candidate): boolean {
  return job.memoryTokens <= candidate.memoryTokens;
}

/** Predicted milliseconds until the first token. */
function predicted(job: Job, { estimate: belief, ...candidate }: Candidate, now: number): number {
  const uncached = Math.max(0, job.tokens - candidate.cachedTokens);
  const service = belief.serviceMs(job.band, uncached);
  return belief.aheadMs(job.band, now) + service + candidate.distanceMs;
}

function least(
  candidates: readonly Candidate[],
  measure: (candidate: Candidate) => number,
): Candidate | undefined {
  return candidates.reduce<Candidate | undefined>(
    (best, candidate) =>
      best === undefined || measure(candidate) < measure(best) ? candidate : best,
    undefined,
  );
}

/** Naive: each target in turn. */
export class RoundRobin implements Policy {
  readonly name = 'roundRobin';

  private next = 0;

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const able = candidates.filter((candidate) => fits(job, candidate));
    if (able.length === 0) return undefined;
    const chosen = able[this.next % able.length];
    this.next += 1;
    const predictedMs = predicted(job, chosen, now);
    return { target: chosen.name, enginePriority: NEUTRAL_PRIORITY, predictedMs };
  }
}

/** Naive: the target on which this daemon runs the fewest requests. */
export class LeastOutstanding implements Policy {
  readonly name = 'leastOutstanding';

  constructor(private readonly source: random.Random) {}

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const able = candidates.filter((candidate) => fits(job, candidate));
    const fewest = Math.min(...able.map(({ estimate: belief }) => belief.streams));
    const tied = able.filter(({ estimate: belief }) => belief.streams === fewest);
    if (tied.length === 0) return undefined;
    const chosen = random.pick(this.source, tied);
    const predictedMs = predicted(job, chosen, now);
    return { target: chosen.name, enginePriority: NEUTRAL_PRIORITY, predictedMs };
  }
}

/** Naive: one queue in order of arrival; a target takes the next when it has few without a token. */
export class SharedFifo implements Policy {
  readonly name = 'fifo';

  constructor(
    private readonly source: random.Random,
    private readonly window = 1,
  ) {}

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const free = candidates.filter(
      (candidate) => fits(job, candidate) && candidate.estimate.pendingCount() < this.window,
    );
    if (free.length === 0) return undefined;
    const chosen = random.pick(this.source, free);
    const predictedMs = predicted(job, chosen, now);
    return { target: chosen.name, enginePriority: NEUTRAL_PRIORITY, predictedMs };
  }
}

/** One shared pool; the engine's priorities alone keep short requests in front. */
export class EnginePriority implements Policy {
  readonly name = 'enginePriority';

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const able = candidates.filter((candidate) => fits(job, candidate));
    const chosen = least(able, (candidate) => predicted(job, candidate, now));
    if (chosen === undefined) return undefined;
    const enginePriority = ENGINE_PRIORITY[job.band];
    return { target: chosen.name, enginePriority, predictedMs: predicted(job, chosen, now) };
  }
}

/** One shared pool with engine priorities, and at most one long prompt under way per target. */
export class LongCap implements Policy {
  readonly name = 'longCap';

  private readonly inner = new EnginePriority();

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    if (job.band !== 'long') return this.inner.place(job, candidates, now);
    const free = candidates.filter(({ estimate: belief }) => !belief.hasLong());
    return this.inner.place(job, free, now);
  }
}

/** How the elastic policy holds back and compares. */
export interface ElasticOptions {
  /** Most predicted waiting on a target, in milliseconds, at which it still gets a request. */
  windowMs: band.PerBand<number>;
  /** Cost put on a target of a longer band for a short request: the chunk it may wait out. */
  strangerMs: number;
}

export const DEFAULT_ELASTIC: ElasticOptions = {
  windowMs: { short: 400, medium: 800, long: 1_000 },
  strangerMs: 40,
};

/**
 * Targets are split into bands sized by demand; a request goes to its own band, or to one of a longer
 * band where that is predicted to be sooner, never to one of a shorter band. Within reach it takes
 * the better of the best two found, with ties at random, so that daemons with the same stale view
 * don't all run to the same target.
 */
export class ElasticBands implements Policy {
  readonly name: string = 'elasticBands';

  constructor(
    private readonly source: random.Random,
    private readonly options: ElasticOptions = DEFAULT_ELASTIC,
  ) {}

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const able = this.reachable(job, candidates);
    const scored = able.map((candidate) => ({ candidate, cost: this.cost(job, candidate, now) }));
    const bestCost = Math.min(...scored.map(({ cost }) => cost));
    const near = scored.filter(({ cost }) => cost <= bestCost * 1.02 + 0.5);
    if (near.length === 0) return undefined;
    const { candidate } = random.pick(this.source, near);
    if (candidate.estimate.aheadMs(job.band, now) > this.options.windowMs[job.band]) {
      return undefined;
    }
    const enginePriority = ENGINE_PRIORITY[job.band];
    return { target: candidate.name, enginePriority, predictedMs: predicted(job, candidate, now) };
  }

  private reachable(job: Job, candidates: readonly Candidate[]): Candidate[] {
    const wanted = band.BANDS.indexOf(job.band);
    const able = candidates.filter((candidate) => fits(job, candidate));
    const own = able.filter((candidate) => band.BANDS.indexOf(candidate.band) >= wanted);
    // With every target of the bands gone, a slow answer is better than none.
    return own.length > 0 ? own : able;
  }

  private cost(job: Job, candidate: Candidate, now: number): number {
    const stranger = candidate.band !== job.band && candidate.estimate.totalMs(now) > 0;
    return predicted(job, candidate, now) + (stranger ? this.options.strangerMs : 0);
  }
}
