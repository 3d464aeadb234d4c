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
  /** In the reserve that is kept clear of longer work. */
  reserved: boolean;
  /** From 0, the daemon's own favourite, to 1. */
  preference: number;
  memoryTokens: number;
}

export interface Placement {
  target: string;
  /** Priority told to the engine; lower is served first. */
  enginePriority: number;
  /** The engine should refuse at once rather than queue it for lack of memory. */
  needsRoom: boolean;
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

/** Naive: each target in turn. */
export class RoundRobin implements Policy {
  readonly name = 'roundRobin';

  private next = 0;

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const able = candidates.filter((candidate) => fits(job, candidate));
    if (able.length === 0) return undefined;
    const chosen = able[this.next % able.length];
    this.next += 1;
    const predictedMs = predictedFirstTokenMs(job, chosen, now);
    return { target: chosen.name, enginePriority: NEUTRAL_PRIORITY, needsRoom: false, predictedMs };
  }
}

/** Naive: the target on which this daemon runs the fewest requests. */
export class LeastOutstanding implements Policy {
  readonly name = 'leastOutstanding';

  constructor(private readonly source: random.Random) {}

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const able = candidates.filter((candidate) => fits(job, candidate));
    const fewest = Math.min(...able.map(({ estimate: targetEstimate }) => targetEstimate.streams));
    const tied = able.filter(({ estimate: targetEstimate }) => targetEstimate.streams === fewest);
    if (tied.length === 0) return undefined;
    const chosen = random.pick(this.source, tied);
    const predictedMs = predictedFirstTokenMs(job, chosen, now);
    return { target: chosen.name, enginePriority: NEUTRAL_PRIORITY, needsRoom: false, predictedMs };
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
    const predictedMs = predictedFirstTokenMs(job, chosen, now);
    return { target: chosen.name, enginePriority: NEUTRAL_PRIORITY, needsRoom: false, predictedMs };
  }
}

/** One shared pool; the engine's priorities alone keep short requests in front. */
export class EnginePriority implements Policy {
  readonly name = 'enginePriority';

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const able = candidates.filter((candidate) => fits(job, candidate));
    const chosen = minBy(able, (candidate) => predictedFirstTokenMs(job, candidate, now));
    if (chosen === undefined) return undefined;
    const enginePriority = ENGINE_PRIORITY[job.band];
    const predictedMs = predictedFirstTokenMs(job, chosen, now);
    return { target: chosen.name, enginePriority, needsRoom: false, predictedMs };
  }
}

/** One shared pool with engine priorities, and at most one long prompt under way per target. */
export class LongCap implements Policy {
  readonly name = 'longCap';

  private readonly inner = new EnginePriority();

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    if (job.band !== 'long') return this.inner.place(job, candidates, now);
    const free = candidates.filter(({ estimate: targetEstimate }) => !targetEstimate.hasLong());
    return this.inner.place(job, free, now);
  }
}

/** How the elastic policy holds back. */
export interface ElasticOptions {
  /** Most predicted waiting on a target, in milliseconds, at which it still gets a request. */
  windowMs: band.PerBand<number>;
  /** Cost put on the least preferred target, in milliseconds. */
  preferenceMs: number;
}

export const DEFAULT_ELASTIC: ElasticOptions = {
  windowMs: { short: 400, medium: 2_000, long: 2_000 },
  preferenceMs: 10,
};

/** Predictions this close together, as a share and in milliseconds, count as equal. */
const TIE = { share: 0.02, ms: 0.5 };

/**
 * A reserve of targets is kept clear of medium and long prompts; the rest is shared by all, with engine
 * priorities. A request goes where its first token is predicted soonest, the step under way there
 * included. Longer ones wait in the daemon until a target is nearly free (late binding). Near ties are
 * broken at random, so that daemons with the same stale view don't all run to the same target.
 */
export class ElasticReserve implements Policy {
  readonly name: string = 'elasticReserve';

  constructor(
    private readonly source: random.Random,
    private readonly options: ElasticOptions = DEFAULT_ELASTIC,
  ) {}

  place(job: Job, candidates: readonly Candidate[], now: number): Placement | undefined {
    const able = this.withRoom(job, this.reachable(job, candidates), now);
    const scored = able.map((candidate) => ({ candidate, cost: this.costMs(job, candidate, now) }));
    const bestCost = Math.min(...scored.map(({ cost }) => cost));
    const near = scored.filter(({ cost }) => cost <= bestCost * (1 + TIE.share) + TIE.ms);
    if (near.length === 0) return undefined;
    const { candidate } = random.pick(this.source, near);
    if (this.isFull(job.band, candidate, now)) return undefined;
    const enginePriority = ENGINE_PRIORITY[job.band];
    const predictedMs = predictedFirstTokenMs(job, candidate, now);
    return { target: candidate.name, enginePriority, needsRoom: true, predictedMs };
  }

  /** A long prompt waits for long ones only: shorter ones pass it on the engine all the time. */
  private isFull(inBand: band.Band, { estimate: targetEstimate }: Candidate, now: number): boolean {
    const waiting =
      inBand === 'long' ? targetEstimate.knownMs('long', now) : targetEstimate.aheadMs(inBand, now);
    return waiting > this.options.windowMs[inBand];
  }

  private reachable(job: Job, candidates: readonly Candidate[]): Candidate[] {
    const able = candidates.filter((candidate) => fits(job, candidate));
    if (job.band === 'short') return able;
    const open = able.filter(({ reserved }) => !reserved);
    // With every other target gone, the reserve is better than nothing.
    return open.length > 0 ? open : able;
  }

  /**
   * Those with memory for it now. An engine that lacks it would hold the request in its own queue,
   * where no other engine that frees memory sooner can take it.
   */
  private withRoom(job: Job, candidates: readonly Candidate[], now: number): readonly Candidate[] {
    const roomy = candidates.filter(
      ({ estimate: targetEstimate }) => targetEstimate.freeTokens(now) >= job.memoryTokens,
    );
    return roomy.length > 0 || job.band !== 'short' ? roomy : candidates;
  }

  private costMs(job: Job, candidate: Candidate, now: number): number {
    const { preference, estimate: targetEstimate } = candidate;
    const bias = preference * this.options.preferenceMs;
    return (
      predictedFirstTokenMs(job, candidate, now) + targetEstimate.residualMs(job.band, now) + bias
    );
  }
}
