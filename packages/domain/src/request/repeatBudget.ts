/**
 * One entry's part of the budget for sending requests to a second target. The budget binds all entries
 * together over a sliding window, so the parts are chosen to add up to less than the whole, also while
 * entries come and go.
 */

export interface Rule {
  /** Repeats for each first sending, of all entries together. */
  ratio: number;
  /** Repeats beyond that, of all entries together, in each window. */
  slack: number;
  windowMs: number;
}

/**
 * Part of the whole that is given out. The rest covers entries that start before others have heard of
 * them, and repeats that one entry counts in the next window and a target in this one.
 */
const GIVEN_SHARE = 0.7;

export class RepeatBudget {
  private readonly firsts: number[] = [];

  private readonly repeats: number[] = [];

  /** Numbers of entries that were told within the last window, oldest first. */
  private told: { at: number; entries: number }[] = [];

  constructor(private readonly rule: Rule) {}

  /**
   * So many entries share the budget now. The largest number of the last window counts: those that ended since
   * have spent their parts in it.
   */
  shareWith(entries: number, now: number): void {
    this.told = this.told.filter(({ at }) => now - at < this.rule.windowMs);
    this.told.push({ at: now, entries });
  }

  countFirst(now: number): void {
    this.firsts.push(now);
  }

  /** Takes one repeat out of the budget, if there is one. */
  spend(now: number): boolean {
    this.expire(this.firsts, now);
    this.expire(this.repeats, now);
    const { ratio, slack } = this.rule;
    // Without any number there is no part of the slack: an entry can't tell how small its own is.
    const entries = Math.max(0, ...this.told.map((each) => each.entries));
    const share = entries === 0 ? 0 : slack / entries;
    const allowed = GIVEN_SHARE * (ratio * this.firsts.length + share);
    if (this.repeats.length + 1 > allowed) return false;
    this.repeats.push(now);
    return true;
  }

  private expire(times: number[], now: number): void {
    const kept = times.findIndex((time) => now - time < this.rule.windowMs);
    times.splice(0, kept === -1 ? times.length : kept);
  }
}
