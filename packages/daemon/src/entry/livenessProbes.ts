/**
 * Liveness probes of targets. A connection may be dead while its target is healthy, and a late target may be busy, so a
 * probe uses a connection of its own, and only a response of the addressed lifetime counts.
 */
import type * as protocols from '../edges/protocols';
import type * as observer from '../observability/observer';
import type * as rateLimitClient from './rateLimitClient';
import * as targetClient from './targetClient';

export interface Dependencies {
  protocol: protocols.TrafficProtocol;
  limits: Pick<rateLimitClient.RateLimitClient, 'mayProbe'>;
  gate: targetClient.AdmissionGate;
  observer: observer.Observer;
  /** IP address that connections come from; undefined where the operating system chooses. */
  source: string | undefined;
  /** Opens connections to targets; `net.connect` by default. */
  openSocket?: targetClient.SocketOpener;
}

/** Probe timeout, milliseconds: a new connection and a hundred round trips. */
const PROBE_TIMEOUT_MS = 300;

const OK = 200;

export class LivenessProbes {
  /** Probes in flight by target; requests on the same target share one. */
  private readonly pending = new Map<string, Promise<boolean>>();

  constructor(private readonly dependencies: Dependencies) {}

  /**
   * Whether this lifetime of a target responds. A target that can't be probed, as it is limited or in back-off, counts
   * as alive.
   */
  isAlive(target: string, address: string): Promise<boolean> {
    const pending = this.pending.get(target);
    if (pending !== undefined) return pending;
    const probe = this.probe(target, address).finally(() => this.pending.delete(target));
    this.pending.set(target, probe);
    return probe;
  }

  private async probe(target: string, address: string): Promise<boolean> {
    if (!(await this.dependencies.limits.mayProbe(target))) {
      this.dependencies.observer.count('lifeChecks.withheld');
      return true;
    }
    const { protocol, gate, source, openSocket } = this.dependencies;
    const client = new targetClient.TargetClient({ protocol, gate, source, openSocket });
    const recipient = { target, address, purpose: 'check' } as const;
    const result = await client.call(recipient, protocol.stateCall(target), PROBE_TIMEOUT_MS);
    client.close();
    if (result.kind === 'withheld') {
      this.dependencies.observer.count('lifeChecks.withheld');
      return true;
    }
    const status = result.kind === 'answered' ? result.status : 0;
    const isAlive = result.kind === 'answered' && isFromLiveTarget(result);
    this.dependencies.observer.count(isAlive ? 'lifeChecks.alive' : 'lifeChecks.dead');
    this.dependencies.observer.log('targetAsked', { target, status, isAlive });
    return isAlive;
  }
}

/** Whether the addressed lifetime responded, which includes refusing the probe because it is too busy. */
function isFromLiveTarget({
  status,
  facts,
}: targetClient.CallResult & { kind: 'answered' }): boolean {
  return status === OK || (facts.isNotRun && !facts.isWrongLifetime);
}
