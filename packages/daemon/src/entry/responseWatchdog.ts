/** Watches the response of one attempt: probes its target when it is overdue, and reports when to give it up. */
import * as responseTimeout from './responseTimeout';

export interface Dependencies {
  thresholds: responseTimeout.Thresholds;
  sentAt: number;
  now: () => number;
  /** When the last event arrived; 0 before the first. */
  lastEventAt: () => number;
  isAlive: () => Promise<boolean>;
  /** Whether another target can be tried; without one, giving up has no benefit. */
  hasAlternative: () => boolean;
  onTimeout: (detail: string) => void;
}

export class ResponseWatchdog {
  private readonly timer: NodeJS.Timeout;

  private isStopped = false;

  private isProbing = false;

  private nextProbeAt = 0;

  constructor(private readonly dependencies: Dependencies) {
    this.timer = setInterval(
      () => this.check(),
      responseTimeout.checkIntervalMs(dependencies.thresholds),
    );
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
  }

  /** Whether the next event is overdue, or has timed out. */
  get isOverdue(): boolean {
    return this.status !== 'fine';
  }

  private get status(): responseTimeout.Status {
    const { thresholds, sentAt, lastEventAt, now } = this.dependencies;
    return responseTimeout.classify(thresholds, { sentAt, lastEventAt: lastEventAt() }, now());
  }

  private check(): void {
    if (!this.dependencies.hasAlternative()) return;
    const { status } = this;
    if (status === 'timedOut') this.dependencies.onTimeout('target timed out');
    else if (status === 'overdue') void this.probe();
  }

  private async probe(): Promise<void> {
    const { now, isAlive } = this.dependencies;
    if (this.isProbing || now() < this.nextProbeAt) return;
    this.isProbing = true;
    // A probe that fails unexpectedly says nothing of the target.
    const alive = await isAlive().catch(() => true);
    this.isProbing = false;
    this.nextProbeAt = now() + responseTimeout.PROBE_INTERVAL_MS;
    // An event may have arrived during the probe, or the attempt may have ended.
    if (!alive && !this.isStopped && this.status !== 'fine')
      this.dependencies.onTimeout('target failed its liveness probe');
  }
}
