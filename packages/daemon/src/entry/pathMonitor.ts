/**
 * Watches this VM's paths to the targets: records the outcomes of its connections, probes lost paths until they are
 * back, and logs what is lost and restored.
 */
import * as domain from '@celerydrift/domain';
import type * as fleetState from '../fleet/fleetState';
import type * as observer from '../observability/observer';
import type * as connectionTracker from './connectionTracker';

type ScopeChange = domain.reachability.targetPaths.ScopeChange;
type Announcement = domain.registry.registry.Announcement;

export interface Dependencies {
  fleetState: Pick<fleetState.FleetState, 'registry'>;
  observer: observer.Observer;
  random: domain.shared.random.Random;
  now: () => number;
  /** Opens a connection to a target and closes it at once; the outcome is reported like that of any other. */
  tryConnection: (target: string, address: string) => void;
  /** Probes a target over a new connection; the outcome is reported like that of any other message. */
  probe: (target: string, address: string) => void;
  /** The same for a target on a lost path, which is tried all the time; one with a rate limit gets few such probes. */
  probeLost: (target: string, address: string) => void;
  /** Whether `probeLost` may send anything to a target. */
  isProbeDue: (target: string) => boolean;
  /** Called with targets whose paths are lost; open connections to them may never convey anything again. */
  onLost: (targets: readonly string[]) => void;
  /** Called while paths are lost, so that the status of the VMs that relay messages stays known. */
  onImpaired: () => void;
}

/** Interval between checks of lost paths, milliseconds; a return is noticed at most that much later. */
const CHECK_INTERVAL_MS = 300;

/** Targets of each lost scope to which a connection is tried at each check. */
const PROBES_PER_SCOPE = 1;

/** The same when a scope is suspected or lost, at once, and in its service: one response shows that only some are down. */
const SUSPICION_PROBES = 2;

/** Targets whose own paths are lost that are tried at each check, and the shortest interval for each, milliseconds. */
const PROBES_OF_LOST = 3;
const PROBE_INTERVAL_MS = 1_000;

/**
 * Time without any contact to targets after which a connection is tried, milliseconds. Without it an entry with few
 * callers would notice lost paths only by the requests that fail.
 */
const QUIET_MS = 2_000;

export class PathMonitor implements connectionTracker.ConnectionListener {
  private readonly paths = new domain.reachability.targetPaths.TargetPaths(() => this.ready());

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly dependencies: Dependencies) {}

  start(): void {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  connected(): void {
    this.dependencies.observer.count('connections.opened');
    this.paths.connected(this.dependencies.now());
  }

  /** A connection attempt failed, or a probe of the target was not answered. */
  failed(target: string): void {
    const { fleetState: state, observer: observe, now } = this.dependencies;
    observe.count('connections.failed');
    const record = state.registry.get(target);
    if (record !== undefined) this.apply(this.paths.failed(record, now()));
  }

  /** A target responded to a message that was sent at `sentAt`. */
  responded(target: string, sentAt: number): void {
    const { fleetState: state, now } = this.dependencies;
    const record = state.registry.get(target);
    if (record !== undefined) this.apply(this.paths.responded(record, sentAt, now()));
  }

  reachedElsewhere(target: string): void {
    this.paths.reachedElsewhere(target, this.dependencies.now());
  }

  forget(target: string): void {
    this.paths.forget(target);
  }

  /** Whether messages to the target should go by way of another VM. */
  isLost(target: string): boolean {
    const record = this.dependencies.fleetState.registry.get(target);
    return record !== undefined && this.paths.isLost(record);
  }

  /** Whether another VM has reached a target since it began to fail here, so that it is up. */
  isReachedElsewhere(target: string): boolean {
    return this.paths.isReachedElsewhere(target);
  }

  /** When a target that doesn't respond began to fail here; undefined for one that responds or wasn't tried. */
  failingSince(target: string): number | undefined {
    return this.paths.failingSince(target);
  }

  /** Whether this VM reaches the service of a target, judged by messages that were sent since a time. */
  reachOfService(target: string, since: number): domain.reachability.targetPaths.Reach {
    const service = this.dependencies.fleetState.registry.get(target)?.service;
    return this.paths.reachOf(service ?? domain.reachability.targetPaths.ALL, since);
  }

  /** Whether this VM reaches no target at all. */
  get isIsolated(): boolean {
    return this.paths.isolatedSince !== undefined;
  }

  /** Milliseconds since this VM lost its paths to all targets; 0 if it reaches some. */
  get isolatedMs(): number {
    const { isolatedSince } = this.paths;
    return isolatedSince === undefined ? 0 : this.dependencies.now() - isolatedSince;
  }

  /** Scopes of targets that this VM doesn't reach. */
  get lostScopes(): string[] {
    return this.paths.scopes;
  }

  /** The scopes that a target belongs to; none if it isn't known. */
  scopesOf(target: string): string[] {
    const record = this.dependencies.fleetState.registry.get(target);
    return record === undefined ? [] : domain.reachability.targetPaths.scopesOf(record);
  }

  get lostTargets(): number {
    return this.paths.lostTargets;
  }

  private get isImpaired(): boolean {
    return this.paths.scopes.length > 0 || this.paths.lostTargets > 0;
  }

  private apply(changes: readonly ScopeChange[]): void {
    changes.forEach((change) => {
      const { scope } = change;
      const targets = this.targetsOf(scope);
      if (change.change === 'lost') this.lose(scope, targets);
      else if (change.change === 'suspected') this.probe(scope);
      else this.logRestored(scope, targets.length, change.afterMs);
    });
  }

  private logRestored(scope: string, targets: number, afterMs: number): void {
    const { observer: observe } = this.dependencies;
    observe.log('pathsRestored', { scope, targets, afterMs: Math.round(afterMs) });
  }

  private lose(scope: string, targets: readonly Announcement[]): void {
    const { observer: observe, onLost, onImpaired } = this.dependencies;
    observe.log('pathsLost', { scope, targets: targets.length });
    onLost(targets.map(({ id }) => id));
    onImpaired();
    // Whether the rest of the service responds tells whether the targets of a data centre may have crashed.
    const [, service = scope] = domain.reachability.targetPaths.enclosingScopes(scope);
    new Set([scope, service]).forEach((each) => this.probe(each));
  }

  private check(): void {
    const { fleetState: state, now } = this.dependencies;
    if (this.isImpaired) this.dependencies.onImpaired();
    this.paths.scopes.forEach((scope) => this.probeLost(scope));
    this.paths
      .dueForProbe(PROBES_OF_LOST, PROBE_INTERVAL_MS, now())
      .flatMap((id) => state.registry.get(id) ?? [])
      .forEach(({ id, address }) => this.dependencies.probeLost(id, address));
    if (!this.isImpaired && this.paths.quietMs(now()) >= QUIET_MS) this.tryAnyTarget();
  }

  /** Probes targets of a scope at once, as a failure made it suspect or lost. */
  private probe(scope: string): void {
    this.candidates(scope)
      .slice(0, SUSPICION_PROBES)
      .forEach(({ id, address }) => this.dependencies.probe(id, address));
  }

  /** Tries whether a lost scope is back. */
  private probeLost(scope: string): void {
    this.candidates(scope)
      .filter(({ id }) => this.dependencies.isProbeDue(id))
      .slice(0, PROBES_PER_SCOPE)
      .forEach(({ id, address }) => this.dependencies.probeLost(id, address));
  }

  /** The targets of a scope in random order, those that haven't failed first. */
  private candidates(scope: string): Announcement[] {
    return this.shuffled(scope).sort((a, b) => {
      return Number(this.paths.isFailing(a.id)) - Number(this.paths.isFailing(b.id));
    });
  }

  private tryAnyTarget(): void {
    this.shuffled(domain.reachability.targetPaths.ALL)
      .slice(0, 1)
      .forEach(({ id, address }) => this.dependencies.tryConnection(id, address));
  }

  private shuffled(scope: string): Announcement[] {
    return domain.shared.random.shuffled(this.dependencies.random, this.targetsOf(scope));
  }

  private ready(): Announcement[] {
    const { registry } = this.dependencies.fleetState;
    return registry.records().filter(({ state }) => state === 'ready');
  }

  private targetsOf(scope: string): Announcement[] {
    return this.ready().filter((record) => {
      return domain.reachability.targetPaths.scopesOf(record).includes(scope);
    });
  }
}
