/**
 * One entry's share of the budget for repeats, that is, for sending requests to a second target.
 * The budget binds all entries together over a sliding window, so the shares add up to less than
 * the whole, also while entries start and stop.
 */

export interface Rule {
  /** Repeats per first attempt, of all entries together. */
  ratio: number;
  /** Additional repeats per window, of all entries together. */
  slack: number;
  windowMs: number;
}

/**
 * Fraction of the budget that is allocated. The rest covers entries that start before the others
 * know of them, and repeats that an entry and a target count in different windows.
 */
const ALLOCATED_FRACTION = 0.7;

/**
 * Number of entries that share the slack: the largest reported within the last window, as entries
 * that stopped since have spent their shares in it.
 */
class EntryCounts {
  /** Reported numbers within the last window, oldest first. */
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

  /** Reports how many entries share the budget now. */
  setEntryCount(entries: number, now: number): void {
    this.entryCounts.report(entries, now);
  }

  countFirstAttempt(now: number): void {
    this.firstAttempts.push(now);
  }

  /** Takes one repeat out of the budget, if there is one. */
  spend(now: number): boolean {
    this.expire(this.firstAttempts, now);
    this.expire(this.repeats, now);
    const { ratio, slack } = this.rule;
    // Before any report there is no share of the slack, as the entry can't know how small it is.
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
 * One entry's shares of the budgets of all services. Each service has a budget of its own: in a
 * common one, the repeats of a failing service would use up what a healthy one needs for a single
 * failure.
 */
export class RepeatBudgets {
  private readonly byService = new Map<string, RepeatBudget>();

  private readonly entryCounts: EntryCounts;

  constructor(private readonly rule: Rule) {
    this.entryCounts = new EntryCounts(rule.windowMs);
  }

  /** Reports how many entries share each budget now. */
  setEntryCount(entries: number, now: number): void {
    this.entryCounts.report(entries, now);
  }

  of(service: string): RepeatBudget {
    const existing = this.byService.get(service);
    if (existing !== undefined) return existing;
    const budget = new RepeatBudget(this.rule, this.entryCounts);
    this.byService.set(service, budget);
    return budget;
  }
}
