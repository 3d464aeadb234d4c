/**
 * Asks targets whether they live. A connection may be dead while its target is well, and a target that is late may be
 * busy; so the question goes over a connection of its own, and only an answer of the lifetime that was meant counts.
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
}

/** Longest wait for the answer, milliseconds: a new connection and a hundred ways there and back. */
const PROBE_TIMEOUT_MS = 300;

const OK = 200;

export class LivenessProbes {
  /** Questions under way; requests on the same target share one. */
  private readonly pending = new Map<string, Promise<boolean>>();

  constructor(private readonly dependencies: Dependencies) {}

  /** Whether this lifetime of a target answers; also one counts as alive that may not be asked now, as it named a limit or wants nothing. */
  isAlive(target: string, address: string): Promise<boolean> {
    const known = this.pending.get(target);
    if (known !== undefined) return known;
    const started = this.probe(target, address).finally(() => this.pending.delete(target));
    this.pending.set(target, started);
    return started;
  }

  private async probe(target: string, address: string): Promise<boolean> {
    if (!(await this.dependencies.limits.mayProbe(target))) {
      this.dependencies.observer.count('lifeChecks.withheld');
      return true;
    }
    const { protocol, gate, source } = this.dependencies;
    const client = new targetClient.TargetClient({ protocol, gate, source });
    const recipient = { target, address, purpose: 'check' } as const;
    const result = await client.call(recipient, protocol.report(target), PROBE_TIMEOUT_MS);
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

/** Whether the lifetime that was asked answered; also one does that turns the question away as it is too busy. */
function isFromLiveTarget({
  status,
  facts,
}: targetClient.CallResult & { kind: 'answered' }): boolean {
  return status === OK || (facts.isNotRun && !facts.isWrongLifetime);
}
