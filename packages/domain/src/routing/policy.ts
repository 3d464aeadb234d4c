/**
 * Placement policies: the elastic reserve and the simpler ones that it is compared with. All use the
 * same estimates; they differ in which targets they consider, what they compare, and whether they
 * hold a request back until a target is nearly free. docs/decisions/0005 has the comparison.
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

/** A target that serves the job's model and isn't draining, excluded or behind an open circuit. */
export interface Candidate {
  name: string;
  estimate: estimate.Estimate;
  /** Round trip beyond that within the own data centre, in milliseconds. */
  distanceMs: number;
  /** Prompt tokens estimated to be cached there. */
  cachedTokens: number;
  /** In the reserve that is kept free of longer work. */
  reserved: boolean;
  /** From 0, most preferred by this daemon, to 1. */
  preference: number;
  memoryTokens: number;
}

export interface Placement {
  target: string;
  /** Priority sent to the engine; lower is served first. */
  enginePriority: number;
  /** The engine should refuse it at once rather than queue it for lack of memory. */
  needsRoom: boolean;
  predictedMs: number;
}

export interface Policy {
  readonly name: string;
  /** Where to send the job now; undefined to let it wait. */
  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined;
}

const ENGINE_PRIORITY: band.PerBand<number> = { short: 0, medium: 1, long: 2 };

/** Priority sent by policies that don't use the engine's priorities. */
const NEUTRAL_PRIORITY = 1;

function fits(job: Job, candidate: Candidate): boolean {
  return job.memoryTokens <= candidate.memoryTokens;
}

/** Predicted milliseconds until the first token. */
function predictedFirstTokenMs(
  job: Job,
  { estimate: targetEstimate, ...candidate }: Candidate,
  now: number,
): number {
  const uncached = Math.max(0, job.tokens - candidate.cachedTokens);
  const service = targetEstimate.costs.serviceMs(job.band, uncached);
  return targetEstimate.aheadMs(job.band, now) + service + candidate.distanceMs;
}

function minBy(
  candidates: readonly Candidate[],
  measure: (candidate: Candidate) => number,
): Candidate | undefined {
  return candidates.reduce<Candidate | undefined>(
    (best, candidate) =>
      best === undefined || measure(candidate) < measure(best) ? candidate : best,
    undefined,
  );
}

/** Baseline: each target in turn. */
export class RoundRobin implements Policy {
  readonly name = 'roundRobin';

  private next = 0;

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const fitting = candidates.filter((candidate) => fits(job, candidate));
    if (fitting.length === 0) return undefined;
    const chosen = fitting[this.next % fitting.length];
    this.next += 1;
    const predictedMs = predictedFirstTokenMs(job, chosen, now);
    return { target: chosen.name, enginePriority: NEUTRAL_PRIORITY, needsRoom: false, predictedMs };
  }
}

/** Baseline: the target on which this daemon runs the fewest requests. */
export class LeastOutstanding implements Policy {
  readonly name = 'leastOutstanding';

  constructor(private readonly source: random.Random) {}

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const fitting = candidates.filter((candidate) => fits(job, candidate));
    const fewest = Math.min(
      ...fitting.map(({ estimate: targetEstimate }) => targetEstimate.streams),
    );
    const tied = fitting.filter(
      ({ estimate: targetEstimate }) => targetEstimate.streams === fewest,
    );
    if (tied.length === 0) return undefined;
    const chosen = random.pick(this.source, tied);
    const predictedMs = predictedFirstTokenMs(job, chosen, now);
    return { target: chosen.name, enginePriority: NEUTRAL_PRIORITY, needsRoom: false, predictedMs };
  }
}

/**
 * Baseline: one queue in order of arrival; a target takes the next request while few of its
 * requests lack a first token.
 */
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
    const predictedMs = predictedFirstTokenMs(job, chosen, now);
    return { target: chosen.name, enginePriority: NEUTRAL_PRIORITY, needsRoom: false, predictedMs };
  }
}

/** One shared pool; only the engine's priorities put short requests first. */
export class EnginePriority implements Policy {
  readonly name = 'enginePriority';

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const fitting = candidates.filter((candidate) => fits(job, candidate));
    const chosen = minBy(fitting, (candidate) => predictedFirstTokenMs(job, candidate, now));
    if (chosen === undefined) return undefined;
    const enginePriority = ENGINE_PRIORITY[job.band];
    const predictedMs = predictedFirstTokenMs(job, chosen, now);
    return { target: chosen.name, enginePriority, needsRoom: false, predictedMs };
  }
}

/** One shared pool with engine priorities and at most one long prompt in progress per target. */
export class LongCap implements Policy {
  readonly name = 'longCap';

  private readonly inner = new EnginePriority();

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    if (job.band !== 'long') return this.inner.place(job, candidates, now);
    const free = candidates.filter(({ estimate: targetEstimate }) => !targetEstimate.hasLong());
    return this.inner.place(job, free, now);
  }
}

/** When the elastic policy holds requests back. */
export interface ElasticOptions {
  /** Longest predicted wait on a target, in milliseconds, at which it still gets a request. */
  windowMs: band.PerBand<number>;
  /** Cost added to the least preferred target, in milliseconds. */
  preferenceMs: number;
}

export const DEFAULT_ELASTIC: ElasticOptions = {
  windowMs: { short: 400, medium: 2_000, long: 2_000 },
  preferenceMs: 10,
};

/** Predictions within this fraction plus this many milliseconds count as equal. */
const TIE = { share: 0.02, ms: 0.5 };

/**
 * Keeps a reserve of targets free of medium and long prompts; all requests share the rest, with
 * engine priorities. A request goes where its first token is predicted soonest, including the
 * engine step in progress. Longer requests wait in the daemon until a target is nearly free (late
 * binding). Near ties are broken randomly, so that daemons with the same stale view don't choose
 * the same target.
 */
export class ElasticReserve implements Policy {
  readonly name: string = 'elasticReserve';

  constructor(
    private readonly source: random.Random,
    private readonly options: ElasticOptions = DEFAULT_ELASTIC,
  ) {}

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const eligible = this.withRoom(job, this.reachable(job, candidates), now);
    const scored = eligible.map((candidate) => ({
      candidate,
      cost: this.costMs(job, candidate, now),
    }));
    const bestCost = Math.min(...scored.map(({ cost }) => cost));
    const nearTies = scored.filter(({ cost }) => cost <= bestCost * (1 + TIE.share) + TIE.ms);
    if (nearTies.length === 0) return undefined;
    const { candidate } = random.pick(this.source, nearTies);
    if (this.isFull(job.band, candidate, now)) return undefined;
    const enginePriority = ENGINE_PRIORITY[job.band];
    const predictedMs = predictedFirstTokenMs(job, candidate, now);
    return { target: candidate.name, enginePriority, needsRoom: true, predictedMs };
  }

  /**
   * Whether the predicted wait exceeds the band's window. A long prompt counts only the wait for
   * other long ones, as shorter ones always overtake it on the engine.
   */
  private isFull(inBand: band.Band, { estimate: targetEstimate }: Candidate, now: number): boolean {
    const waiting =
      inBand === 'long' ? targetEstimate.knownMs('long', now) : targetEstimate.aheadMs(inBand, now);
    return waiting > this.options.windowMs[inBand];
  }

  private reachable(job: Job, candidates: readonly Candidate[]): Candidate[] {
    const fitting = candidates.filter((candidate) => fits(job, candidate));
    if (job.band === 'short') return fitting;
    const unreserved = fitting.filter(({ reserved }) => !reserved);
    // If only the reserve is left, use it.
    return unreserved.length > 0 ? unreserved : fitting;
  }

  /**
   * Candidates with enough free memory; for a short job all, if none has enough. An engine without
   * it would hold the request in its own queue, where no engine that frees memory sooner can take it.
   */
  private withRoom(job: Job, candidates: readonly Candidate[], now: number): readonly Candidate[] {
    const withMemory = candidates.filter(
      ({ estimate: targetEstimate }) => targetEstimate.freeTokens(now) >= job.memoryTokens,
    );
    return withMemory.length > 0 || job.band !== 'short' ? withMemory : candidates;
  }

  private costMs(job: Job, candidate: Candidate, now: number): number {
    const { preference, estimate: targetEstimate } = candidate;
    const bias = preference * this.options.preferenceMs;
    return (
      predictedFirstTokenMs(job, candidate, now) + targetEstimate.residualMs(job.band, now) + bias
    );
  }
}
