/**
 * Requests that came before the entry has settings that it may serve by. After all keepers were down they
 * elect a leader within 0.45 to 0.75 s, and an entry that was started again has the settings some milliseconds
 * later; callers that were refused meanwhile would have lost one of their few tries. So a request waits for a bounded
 * part of its caller's patience. In played days with such an outage three in four of all refusals were of
 * this kind.
 */

/** Longest wait, milliseconds: two elections, as the first may end without a leader. */
const MAX_WAIT_MS = 1_500;

/** Part of a caller's patience that may be spent; the rest must suffice to serve it. */
const MAX_WAIT_SHARE = 0.2;

/** Patience of callers that don't say theirs, milliseconds. */
const DEFAULT_PATIENCE_MS = 5_000;

export class SettingsWait {
  private readonly waiting = new Set<() => void>();

  /** `isSettled` says whether there are settings to serve by. */
  constructor(private readonly hasUsableSettings: () => boolean) {}

  /** Resolves when there are settings to serve by, or when waiting longer would cost the caller too much. */
  async wait(patienceMs = DEFAULT_PATIENCE_MS): Promise<void> {
    if (this.hasUsableSettings()) return;
    await new Promise<void>((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        this.waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, Math.min(MAX_WAIT_MS, MAX_WAIT_SHARE * patienceMs));
      this.waiting.add(done);
    });
  }

  /** To be called whenever settings came or were confirmed. */
  wake(): void {
    if (this.hasUsableSettings()) this.waiting.forEach((done) => done());
  }
}
