/**
 * The usual demand of each organisation in tokens a second, used as its weight in fair queueing. Handles the load in
 * which one organisation multiplies its demand: its weight rises slowly, so the excess waits behind its own requests
 * and not in front of those of others. A large organisation has a large weight, so it isn't penalised for its size.
 */

/** Time over which the usual demand is averaged, in milliseconds. Callers' bursts last about ten seconds. */
const USUAL_MS = 60_000;

/** Time over which the present demand is averaged, in milliseconds; long enough to average out single long prompts. */
const PRESENT_MS = 5_000;

/**
 * Most that present demand counts, as a multiple of the usual demand. Without a bound, ten seconds of ten times the
 * demand would multiply the weight by 2.4 instead of 1.2.
 */
const MAX_GROWTH = 2;

/**
 * Time within which an organisation's first averages are formed from its present demand alone, in milliseconds. A new
 * leader knows nothing of the usual demand, and some organisations send their first request to it late.
 */
const WARM_UP_MS = 4_000;

/** Time of demand that must have been observed before the averages are used, in milliseconds. */
const MIN_OBSERVED_MS = 1_000;

/** Lower bound of a weight as a share of the mean one, so that a new or rare organisation isn't shut out. */
const MIN_WEIGHT_SHARE = 0.25;

/** Organisations that are remembered; the least recently active one is dropped first. */
const MAX_ORGANISATIONS = 1_000;

interface Demand {
  /** Decayed sum of work, in tokens. */
  present: number;
  /** Tokens a second. */
  usual: number;
  at: number;
  firstAt: number;
}

export class UsualDemand {
  private readonly demands = new Map<string, Demand>();

  private firstAt: number | undefined;

  /** Lower bound of the weights, from which a new organisation grows, in tokens a second. */
  private leastUsual = 1;

  /** Counts the work of a request that arrived for the first time. */
  count(organisation: string, tokens: number, now: number): void {
    this.firstAt ??= now;
    const demand = this.demands.get(organisation) ?? {
      present: 0,
      usual: 0,
      at: now,
      firstAt: now,
    };
    this.advance(demand, now);
    demand.present += tokens;
    this.demands.delete(organisation);
    this.demands.set(organisation, demand);
    if (this.demands.size <= MAX_ORGANISATIONS) return;
    const [oldest] = this.demands.keys();
    this.demands.delete(oldest);
  }

  /** Whether enough demand was observed for the weights to mean anything. */
  isObserved(now: number): boolean {
    return this.firstAt !== undefined && now - this.firstAt >= MIN_OBSERVED_MS;
  }

  /** Weights by organisation; one without demand has the lower bound. */
  weights(now: number): { of: (organisation: string) => number } {
    this.demands.forEach((demand) => this.advance(demand, now));
    const total = [...this.demands.values()].reduce((sum, { usual }) => sum + usual, 0);
    this.leastUsual = Math.max(1, (MIN_WEIGHT_SHARE * total) / Math.max(1, this.demands.size));
    const { leastUsual } = this;
    return {
      of: (organisation) => Math.max(leastUsual, this.demands.get(organisation)?.usual ?? 0),
    };
  }

  private advance(demand: Demand, now: number): void {
    const elapsedMs = now - demand.at;
    const age = now - demand.firstAt;
    // Less than the whole averaging time may have passed since the first request.
    const averagedMs = PRESENT_MS * (1 - Math.exp(-Math.max(MIN_OBSERVED_MS, age) / PRESENT_MS));
    demand.present *= Math.exp(-elapsedMs / PRESENT_MS);
    demand.at = now;
    const perSecond = (demand.present / averagedMs) * 1_000;
    if (age < WARM_UP_MS) {
      demand.usual = perSecond;
      return;
    }
    const counted = Math.min(perSecond, MAX_GROWTH * Math.max(demand.usual, this.leastUsual));
    demand.usual += (counted - demand.usual) * (1 - Math.exp(-elapsedMs / USUAL_MS));
  }
}
