/**
 * Liveness probes of targets. A connection may be dead while its target is healthy, and a late target may be busy, so a
 * probe uses a connection of its own, and only a response of the addressed lifetime counts.
 */
import type * as domain from '@celerydrift/domain';
import type * as protocols from '../edges/protocols';
import type * as observer from '../observability/observer';
import type * as rateLimitClient from './rateLimitClient';
import type * as connectionTracker from './connectionTracker';
import type * as livenessVerdict from './livenessVerdict';
import type * as pathMonitor from './pathMonitor';
import type * as relayPeers from './relayPeers';
import * as targetClient from './targetClient';
import type * as targetMessage from './targetMessage';

export interface Dependencies {
  protocol: protocols.TrafficProtocol;
  registry?: Pick<domain.registry.registry.Registry, 'isReplaced'>;
  limits: Pick<rateLimitClient.RateLimitClient, 'mayProbe' | 'mayProbePath' | 'isPathProbeDue'>;
  gate: targetMessage.AdmissionGate;
  observer: observer.Observer;
  /** IP address that connections come from; undefined where the operating system chooses. */
  source: string | undefined;
  /** Opens connections to targets; `net.connect` by default. */
  openSocket?: connectionTracker.SocketOpener;
  paths?: Pick<
    pathMonitor.PathMonitor,
    'connected' | 'failed' | 'responded' | 'reachedElsewhere' | 'isLost' | 'scopesOf'
  >;
  /** Other VMs that can be asked about a target. */
  peers?: Pick<relayPeers.RelayPeers, 'reach' | 'size' | 'isAvailable'>;
}

/** Probe timeout, milliseconds: a new connection and a hundred round trips. */
const PROBE_TIMEOUT_MS = 300;

const OK = 200;

type ProbeResult = livenessVerdict.ProbeResult;
type Verdict = livenessVerdict.Verdict;

export class LivenessProbes {
  /** Probes in flight by target; requests on the same target share one. */
  private readonly pending = new Map<string, Promise<ProbeResult>>();

  private readonly pendingVerdicts = new Map<string, Promise<Verdict>>();

  /** Questions to other VMs in flight, by target. */
  private readonly pendingQuestions = new Map<string, Promise<Verdict>>();

  /** Targets that refused their last probe, as they would refuse a request. */
  private readonly refusing = new Set<string>();

  constructor(private readonly dependencies: Dependencies) {}

  /** Whether a target that responds takes no requests now. */
  isRefusing(target: string): boolean {
    return this.refusing.has(target);
  }

  /** Discards what is known of a target whose lifetime ended. */
  forget(target: string): void {
    this.refusing.delete(target);
  }

  /** Whether this lifetime of a target responds to this VM. */
  async isAlive(target: string, address: string): Promise<boolean> {
    return (await this.probe(target, address)) === 'alive';
  }

  /**
   * Probes a target. One that may not be probed, as it is limited or in back-off, counts as alive if it holds a connection
   * over which nothing is sent. A lifetime that was replaced is gone; the one at its address now may not want messages.
   */
  async probe(target: string, address: string): Promise<ProbeResult> {
    if (this.dependencies.registry?.isReplaced(target) === true) return 'refused';
    return shared(this.pending, target, () => this.probeIfAllowed(target, address));
  }

  /** Whether `probePath` may send anything, as far as is known here. */
  isPathProbeDue(target: string): boolean {
    return this.dependencies.limits.isPathProbeDue(target);
  }

  /** Probes a target to see whether the path to it is back; one with a rate limit gets few such probes. */
  async probePath(target: string, address: string): Promise<void> {
    const { registry, limits, observer: observe } = this.dependencies;
    if (registry?.isReplaced(target) === true || this.pending.has(target)) return;
    if (await limits.mayProbePath(target)) {
      await shared(this.pending, target, () => this.sendProbe(target, address));
    } else {
      observe.count('lifeChecks.withheld');
    }
  }

  /** Probes a target, and asks another VM about it if it doesn't respond. */
  check(target: string, address: string): Promise<Verdict> {
    return shared(this.pendingVerdicts, target, async () => {
      const isLost = this.dependencies.paths?.isLost(target) === true;
      const result = isLost ? undefined : await this.probe(target, address);
      if (result === 'alive') return 'alive';
      const verdict = await this.askElsewhere(target, address);
      if (verdict === 'silent') return result === 'refused' ? 'dead' : 'silent';
      if (verdict !== 'unknown' && verdict !== 'unasked') return verdict;
      // Nobody else can tell, so a lost path is tried all the same.
      const ownResult = result ?? (await this.probe(target, address));
      return ownResult === 'silent' ? verdict : ownResult;
    });
  }

  /** Whether other VMs are being asked about a target, so that its verdict is due within their time limit. */
  isAskingOthers(target: string): boolean {
    return this.pendingQuestions.has(target);
  }

  /** Asks another VM about a target that this one doesn't reach. */
  askElsewhere(target: string, address: string): Promise<Verdict> {
    return shared(this.pendingQuestions, target, () => this.question(target, address));
  }

  private async question(target: string, address: string): Promise<Verdict> {
    const { peers, paths, observer: observe } = this.dependencies;
    const result = await peers?.reach({ target, address }, paths?.scopesOf(target) ?? []);
    if (result === undefined) {
      return peers === undefined || peers.size === 0 || peers.isAvailable ? 'unknown' : 'unasked';
    }
    const isAlive = result === 'alive';
    if (isAlive) paths?.reachedElsewhere(target);
    observe.log('targetAsked', {
      target,
      isAlive,
      isSilent: result === 'silent',
      isMissing: result === 'missing' || undefined,
      elsewhere: true,
    });
    if (result === 'silent' || result === 'missing') return result;
    return isAlive ? 'pathLost' : 'dead';
  }

  private async probeIfAllowed(target: string, address: string): Promise<ProbeResult> {
    const isAllowed = await this.dependencies.limits.mayProbe(target);
    return isAllowed ? this.sendProbe(target, address) : this.tryConnection(target, address);
  }

  private async sendProbe(target: string, address: string): Promise<ProbeResult> {
    const { protocol, gate, source, openSocket, paths } = this.dependencies;
    const client = new targetClient.TargetClient({ protocol, gate, source, openSocket, paths });
    const recipient = { target, address, purpose: 'check' } as const;
    const result = await client.call(recipient, protocol.stateCall(target), PROBE_TIMEOUT_MS);
    client.close();
    if (result.kind === 'withheld') return this.tryConnection(target, address);
    const status = result.kind === 'answered' ? result.status : 0;
    const isAlive = result.kind === 'answered' && isFromLiveTarget(result);
    if (isAlive && status !== OK) this.refusing.add(target);
    else this.refusing.delete(target);
    const isSilent = result.kind === 'silent';
    if (result.kind !== 'answered') paths?.failed(target);
    this.dependencies.observer.count(isAlive ? 'lifeChecks.alive' : 'lifeChecks.dead');
    this.dependencies.observer.log('targetAsked', { target, status, isAlive, isSilent });
    if (isAlive) return 'alive';
    return isSilent ? 'silent' : 'refused';
  }

  /** Opens a connection to a target that may not be probed. */
  private async tryConnection(target: string, address: string): Promise<ProbeResult> {
    const { protocol, gate, source, openSocket, paths, observer: observe } = this.dependencies;
    observe.count('lifeChecks.withheld');
    const client = new targetClient.TargetClient({ protocol, gate, source, openSocket, paths });
    const taken = await client.holdsConnection(target, address);
    client.close();
    if (taken === 'held') return 'alive';
    observe.log('targetAsked', {
      target,
      isAlive: false,
      isSilent: taken === 'lost',
      isProbed: false,
    });
    return taken === 'refused' ? 'refused' : 'silent';
  }
}

/** The pending result for a key, or a new one. */
function shared<T>(
  pending: Map<string, Promise<T>>,
  key: string,
  begin: () => Promise<T>,
): Promise<T> {
  const existing = pending.get(key);
  if (existing !== undefined) return existing;
  const begun = begin().finally(() => pending.delete(key));
  pending.set(key, begun);
  return begun;
}

/** Whether the addressed lifetime responded, which includes refusing the probe because it is too busy. */
function isFromLiveTarget({
  status,
  facts,
}: targetMessage.CallResult & { kind: 'answered' }): boolean {
  return status === OK || (facts.isNotRun && !facts.isWrongLifetime);
}
