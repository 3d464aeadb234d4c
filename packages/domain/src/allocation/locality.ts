/**
 * Decides whether a prompt stays on the few engines of its caller's data centre. Traffic between
 * data centres costs operators most and suffers from lossy links, and the planner's preferences,
 * such as packing short prompts together, outweigh the distance.
 *
 * The load that it handles is uneven demand: one data centre has more callers than its engines can
 * serve in time, the others have fewer. Work stays while the plan among the engines nearby is about
 * as good as the best one anywhere. It spills over once that costs time, which the plans predict
 * before a queue has built up, and returns once it costs clearly less. With one limit for both,
 * each prompt that spills would make room for the next one to return.
 */

/**
 * Fewest engines nearby: as many as may prefill one prompt. With fewer, a single long prompt blocks
 * all of them for the short prompts of that data centre.
 */
export const MIN_ENGINES = 17;

/**
 * Largest excess of the penalty of the plan nearby over that of the best plan, as a fraction of the
 * request's value: while prompts stay, and while they spill over. Below the smallest delay that a
 * caller can notice, so that staying costs no time.
 */
const MAX_EXCESS = { staying: 0.003, spilling: 0.001 } as const;

export class Locality {
  /** Streams of prompts that spill over. */
  private readonly spilling = new Set<string>();

  /** Largest excess with which the next prompt of this stream stays nearby. */
  maxExcess(stream: string): number {
    return this.spilling.has(stream) ? MAX_EXCESS.spilling : MAX_EXCESS.staying;
  }

  /**
   * Whether a prompt stays nearby. `stream` names prompts of one data centre and alike; `excess` is
   * infinite without a plan nearby.
   */
  staysNearby(stream: string, excess: number): boolean {
    const stays = excess <= this.maxExcess(stream);
    if (stays) this.spilling.delete(stream);
    else this.spilling.add(stream);
    return stays;
  }
}
