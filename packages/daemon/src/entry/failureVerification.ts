/**
 * Asks another VM about targets whose failures were reported to the leader on this VM's evidence alone, and reports what it
 * sees. A target that is only silent is left out as if it was down, until it responds again.
 */
import * as clock from '../clock';
import type * as livenessProbes from './livenessProbes';
import type * as targetSelector from './targetSelector';

export interface Dependencies {
  liveness: Pick<livenessProbes.LivenessProbes, 'check' | 'askElsewhere'>;
  selector: Pick<targetSelector.TargetSelector, 'reportVerdict'>;
}

/** A target that failed. */
export interface FailedTarget {
  target: string;
  address: string;
  /** Whether it got the message; otherwise no connection could be made, and this VM needn't try again. */
  wasSent: boolean;
}

/**
 * Interval between checks of a silent target, milliseconds, and their number: a leader leaves out a target that two VMs
 * don't reach for three seconds.
 */
const RECHECK_MS = 1_000;
const MAX_RECHECKS = 3;

export class FailureVerification {
  /** Silent targets that are being checked again. */
  private readonly awaited = new Set<string>();

  constructor(private readonly dependencies: Dependencies) {}

  async verify({ target, address, wasSent }: FailedTarget): Promise<void> {
    const { liveness: probes } = this.dependencies;
    const verdict = wasSent
      ? await probes.check(target, address)
      : await probes.askElsewhere(target, address);
    if (verdict === 'pathLost' || verdict === 'dead' || verdict === 'silent') {
      this.dependencies.selector.reportVerdict(target, verdict === 'pathLost');
    }
    if (verdict !== 'silent' || this.awaited.has(target)) return;
    this.awaited.add(target);
    await this.awaitResponse(target, address).finally(() => this.awaited.delete(target));
  }

  /** Reports a target that was silent once it responds. */
  private async awaitResponse(target: string, address: string): Promise<void> {
    const { liveness: probes, selector } = this.dependencies;
    for (let rechecks = 0; rechecks < MAX_RECHECKS; rechecks++) {
      await clock.sleep(RECHECK_MS);
      const verdict = await probes.check(target, address);
      const isAlive = verdict === 'alive' || verdict === 'pathLost';
      if (isAlive) selector.reportVerdict(target, true);
      if (isAlive || verdict === 'dead') return;
    }
  }
}
