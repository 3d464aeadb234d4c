/**
 * Holds requests that arrive before the entry has settings to serve them. After an outage of all keepers a leader is
 * elected within 0.45 to 0.75 s, and a restarted entry has the settings some milliseconds later. A refusal in between
 * would cost callers one of their few tries, so a request waits for a bounded share of its caller's timeout. In replays
 * of such an outage three in four of all refusals were of this kind.
 */

/** Maximum wait, milliseconds: two elections, as the first may not elect a leader. */
const MAX_WAIT_MS = 1_500;

/** Share of the caller's timeout that may be spent waiting; the rest must suffice to serve the request. */
const MAX_WAIT_SHARE = 0.2;

/** Timeout assumed for callers that don't state one, milliseconds. */
const DEFAULT_PATIENCE_MS = 5_000;

export class SettingsWait {
  private readonly waiting = new Set<() => void>();

  /** `hasUsableSettings` returns whether there are settings that requests can be served with. */
  constructor(private readonly hasUsableSettings: () => boolean) {}

  /** Resolves when there are usable settings, or after the maximum wait for this caller. */
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

  /** To be called whenever settings arrived or were confirmed. */
  wake(): void {
    if (this.hasUsableSettings()) this.waiting.forEach((done) => done());
  }
}
