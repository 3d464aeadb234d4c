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
const ALLOCATED_FRACTION = 0.7;

/**
 * How many entries share the slack. The largest number of the last window counts: those that ended since have spent their
 * parts in it.
 */
class EntryCounts {
  /** Numbers that were told within the last window, oldest first. */
  private reports: { at: number; entries: number }[] = [];

  constructor(private readonly windowMs: number) {}

  report(entries: number, now: number): void {
    this.reports = this.reports.filter(({ at }) => now - at < this.windowMs);
    this.reports.push({ at: now, entries });
  }

  get peak(): number {
    return Math.max(0, ...this.reports.map(({ entries }) => entries));
  }
}

export class RepeatBudget {
  private readonly firstAttempts: number[] = [];

  private readonly repeats: number[] = [];

  constructor(
    private readonly rule: Rule,
    private readonly entryCounts = new EntryCounts(rule.windowMs),
  ) {}

  /** So many entries share the budget now. */
  setEntryCount(entries: number, now: number): void {
    this.entryCounts.report(entries, now);
  }

  countFirst(now: number): void {
    this.firstAttempts.push(now);
  }

  /** Takes one repeat out of the budget, if there is one. */
  spend(now: number): boolean {
    this.expire(this.firstAttempts, now);
    this.expire(this.repeats, now);
    const { ratio, slack } = this.rule;
    // Without any number there is no part of the slack: an entry can't tell how small its own is.
    const entries = this.entryCounts.peak;
    const share = entries === 0 ? 0 : slack / entries;
    const allowed = ALLOCATED_FRACTION * (ratio * this.firstAttempts.length + share);
    if (this.repeats.length + 1 > allowed) return false;
    this.repeats.push(now);
    return true;
  }

  private expire(times: number[], now: number): void {
    const kept = times.findIndex((time) => now - time < this.rule.windowMs);
    times.splice(0, kept === -1 ? times.length : kept);
  }
}

/**
 * One entry's parts of the budgets of all services. The rule binds each service by itself: in one budget for all, the
 * repeats of a service whose targets fail would use up what a sound one needs for a single failure.
 */
export class RepeatBudgets {
  private readonly byService = new Map<string, RepeatBudget>();

  private readonly entryCounts: EntryCounts;

  constructor(private readonly rule: Rule) {
    this.entryCounts = new EntryCounts(rule.windowMs);
  }

  /** So many entries share each budget now. */
  shareWith(entries: number, now: number): void {
    this.entryCounts.report(entries, now);
  }

  of(service: string): RepeatBudget {
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    const made = new RepeatBudget(this.rule, this.entryCounts);
    this.byService.set(service, made);
    return made;
  }
}
