/**
 * What other VMs and this VM's own paths show of a target: whether it still responds, and whether an attempt failed because
 * of it or because of a lost path.
 */
import type * as domain from '@celerydrift/domain';
import type * as failureVerification from './failureVerification';
import type * as livenessProbes from './livenessProbes';
import type * as outcomes from './outcome';
import type * as pathMonitor from './pathMonitor';
import type * as relayPeers from './relayPeers';

type Target = Pick<domain.allocation.allocator.Placement, 'target' | 'address'>;

export interface Dependencies {
  liveness: Pick<livenessProbes.LivenessProbes, 'check'>;
  /** Which paths of this VM are lost, and the entries that relay messages; without it no path is lost. */
  reachability?: {
    paths: Pick<pathMonitor.PathMonitor, 'isLost'>;
    peers: Pick<relayPeers.RelayPeers, 'isReady'>;
  };
  verification: Pick<failureVerification.FailureVerification, 'verify'>;
}

export class TargetEvidence {
  constructor(private readonly dependencies: Dependencies) {}

  /** Whether a response may still arrive from the target by way of the relay, or directly if that is undefined. */
  async isResponsive({ target, address }: Target, relay: string | undefined): Promise<boolean> {
    const verdict = await this.dependencies.liveness.check(target, address);
    if (relay === undefined) return verdict === 'alive';
    const isUp = verdict === 'alive' || verdict === 'pathLost';
    return isUp && this.isReady(relay);
  }

  /** Whether an attempt at the target failed because this VM, or the relay that it used, has lost its path. */
  isPathLost(target: string, relay: string | undefined): boolean {
    if (relay !== undefined) return !this.isReady(relay);
    return this.dependencies.reachability?.paths.isLost(target) === true;
  }

  /** Asks another VM whether the target is down, which was reported to the leader on this VM's evidence alone. */
  async verifyFailure(outcome: outcomes.Outcome, { target, address }: Target): Promise<void> {
    await this.dependencies.verification.verify({
      target,
      address,
      wasSent: outcome.kind === 'failed',
    });
  }

  private isReady(relay: string): boolean {
    return this.dependencies.reachability?.peers.isReady(relay) === true;
  }
}
