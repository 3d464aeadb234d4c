/**
 * Weighs reports of failed dispatches by the standing of the VM that reports them. A VM that has lost its paths reports
 * a failure for each target that it tries; believed, it would take sound targets out of use for all VMs. Its failures
 * don't count while it succeeds with no target and others do.
 */
import type * as targetHealth from '../allocation/targetHealth';

/** Window over which reports are compared, milliseconds. */
const WINDOW_MS = 3_000;

/** Number of distinct targets that must fail in a row for one reporter before its failures are doubted. */
const FAILURES_TO_DOUBT = 3;

/** Outcomes that a VM also sees where only its path to the target is lost. */
const PATH_OUTCOMES: ReadonlySet<targetHealth.DispatchOutcome> = new Set(['unreachable', 'broken']);

interface Failure {
  target: string;
  at: number;
}

export class ReporterStanding {
  /** Failures of each reporter since its last success. */
  private readonly failures = new Map<string, Failure[]>();

  /** When each reporter last reported a success, by name. */
  private readonly successes = new Map<string, number>();

  /** Reporters that state themselves that they have lost their paths. */
  private readonly isolated = new Set<string>();

  /** The reporter states whether it has lost its paths to all targets. */
  setIsolated(reporter: string, isIsolated: boolean): void {
    if (isIsolated) this.isolated.add(reporter);
    else this.isolated.delete(reporter);
  }

  /** Records a report; returns whether its outcome counts against the target. */
  record(
    reporter: string,
    target: string,
    outcome: targetHealth.DispatchOutcome,
    now: number,
  ): boolean {
    if (outcome === 'done') {
      this.successes.set(reporter, now);
      this.failures.delete(reporter);
      return true;
    }
    if (!PATH_OUTCOMES.has(outcome)) return true;
    const recent = (this.failures.get(reporter) ?? []).filter(({ at }) => now - at <= WINDOW_MS);
    this.failures.set(reporter, [...recent, { target, at: now }]);
    return !this.isDoubted(reporter, now);
  }

  /** Whether failures that the reporter sees are more likely its own. */
  isDoubted(reporter: string, now: number): boolean {
    if (this.isolated.has(reporter)) return true;
    const recent = (this.failures.get(reporter) ?? []).filter(({ at }) => now - at <= WINDOW_MS);
    const targets = new Set(recent.map(({ target }) => target));
    if (targets.size < FAILURES_TO_DOUBT) return false;
    return [...this.successes].some(([other, at]) => other !== reporter && at >= recent[0].at);
  }

  /** Forgets a reporter that is gone. */
  forget(reporter: string): void {
    this.failures.delete(reporter);
    this.successes.delete(reporter);
    this.isolated.delete(reporter);
  }

  clear(): void {
    this.failures.clear();
    this.successes.clear();
    this.isolated.clear();
  }
}
