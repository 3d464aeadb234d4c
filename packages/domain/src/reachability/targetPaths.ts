/**
 * Judges which targets this VM can reach, from what becomes of its own messages and from what other VMs reach. A single
 * target that accepts no connection is probably down. Several of them, with none that responds, point to this VM's own
 * paths: to the targets of a service in one data centre, to all of a service, or to all there are. A target that another
 * VM reaches is up, so its path from here is lost, whatever else is known.
 *
 * An accepted connection alone shows no path, as something between may accept it; and a response shows one only if its
 * message was sent after the failure, as open connections may continue while new ones are refused.
 */
import type * as registry from '../registry/registry';

/** What is known of a target here. */
export type Endpoint = Pick<registry.Announcement, 'id' | 'service' | 'dataCentre'>;

/** Scope of a loss: all targets, those of a service, or those of a service in a data centre, as `SERVICE@NAME`. */
export type Scope = string;

/**
 * What changed for a scope. A `suspected` one is to be probed at targets that haven't failed: they tell whether the others
 * crashed. `afterMs` is how long a restored one was lost.
 */
export type ScopeChange =
  | { scope: Scope; change: 'lost' }
  | { scope: Scope; change: 'suspected' }
  | { scope: Scope; change: 'restored'; afterMs: number };

/** Whether targets of a service responded; `lost` if the paths to all of them are. */
export type Reach = 'reached' | 'lost' | 'unknown';

/** Scope of all targets. */
export const ALL: Scope = 'all';

/**
 * Number of targets of a scope that must fail, with no response from the scope between, before it is suspected and before
 * it counts as lost; a smaller scope counts as lost when all of them fail, but never because of one.
 */
const FAILURES_TO_SUSPICION = 2;
const FAILURES_TO_LOSS = 4;

/** Number of parts of a scope that must fail: data centres of a service, or services. */
const MIN_FAILING_PARTS = 2;

/** A target that began to fail longer ago no longer points to a loss, milliseconds. */
const MAX_FAILURE_AGE_MS = 3_000;

/** A target that failed and hasn't responded since. */
interface FailingTarget {
  endpoint: Endpoint;
  /** Time of the first failure since the last response. */
  failedSince: number;
  failedAt: number;
  /** When another VM last reached the target. */
  reachedElsewhereAt: number;
  probedAt: number;
}

export class TargetPaths {
  private readonly failing = new Map<string, FailingTarget>();

  /** When the last message was sent that a target of a scope responded to. */
  private readonly respondedTo = new Map<Scope, number>();

  /** Lost scopes, with the time of the loss. */
  private readonly lostScopes = new Map<Scope, number>();

  /** When a target last accepted a connection or responded. */
  private contactAt = -Infinity;

  /** `ready` returns the ready targets. */
  constructor(private readonly ready: () => readonly Endpoint[]) {}

  /** A target accepted a connection. */
  connected(now: number): void {
    this.contactAt = now;
  }

  /** A target responded to a message that was sent at `sentAt`. Returns the scopes that are restored. */
  responded(endpoint: Endpoint, sentAt: number, now: number): ScopeChange[] {
    this.contactAt = now;
    const failing = this.failing.get(endpoint.id);
    if (failing !== undefined && sentAt >= failing.failedSince) this.failing.delete(endpoint.id);
    return scopesOf(endpoint).flatMap((scope): ScopeChange[] => {
      this.respondedTo.set(scope, Math.max(sentAt, this.respondedTo.get(scope) ?? sentAt));
      const since = this.lostScopes.get(scope);
      if (since === undefined || sentAt < since) return [];
      this.lostScopes.delete(scope);
      return [{ scope, change: 'restored', afterMs: now - since }];
    });
  }

  /** A connection attempt failed, or a probe got no response. Returns the scopes that are lost or suspected. */
  failed(endpoint: Endpoint, now: number): ScopeChange[] {
    const known = this.failing.get(endpoint.id);
    const state = known ?? {
      endpoint,
      failedSince: now,
      failedAt: now,
      reachedElsewhereAt: -Infinity,
      probedAt: -Infinity,
    };
    state.failedAt = now;
    this.failing.set(endpoint.id, state);
    // Only what began to fail now can be news.
    if (known !== undefined) return [];
    return scopesOf(endpoint).flatMap((scope): ScopeChange[] => {
      const change = this.lostScopes.has(scope) ? 'none' : this.judge(scope, now);
      if (change === 'lost') this.lostScopes.set(scope, now);
      return change === 'none' ? [] : [{ scope, change }];
    });
  }

  /** Whether the last message to a target failed. */
  isFailing(id: string): boolean {
    return this.failing.has(id);
  }

  /** When a target began to fail; undefined if it hasn't failed since its last response. */
  failingSince(id: string): number | undefined {
    return this.failing.get(id)?.failedSince;
  }

  /** Another VM reached a target that this one may not reach. */
  reachedElsewhere(id: string, now: number): void {
    const state = this.failing.get(id);
    if (state !== undefined) state.reachedElsewhereAt = now;
  }

  /** Whether another VM has reached a target since it began to fail here, so that it is up. */
  isReachedElsewhere(id: string): boolean {
    const state = this.failing.get(id);
    return state !== undefined && isPathLost(state);
  }

  /** The target is gone, or its lifetime ended. */
  forget(id: string): void {
    this.failing.delete(id);
  }

  /** Whether messages to the target should go by way of another VM. */
  isLost(endpoint: Endpoint): boolean {
    if (this.isReachedElsewhere(endpoint.id)) return true;
    return scopesOf(endpoint).some((scope) => this.lostScopes.has(scope));
  }

  /** Since when this VM has reached no target at all; undefined if it reaches some. */
  get isolatedSince(): number | undefined {
    return this.lostScopes.get(ALL);
  }

  /** Whether this VM reaches targets of a service, judged by responses to messages that were sent since a time. */
  reachOf(service: string, since: number): Reach {
    if ((this.respondedTo.get(service) ?? -Infinity) >= since) return 'reached';
    return this.lostScopes.has(ALL) || this.lostScopes.has(service) ? 'lost' : 'unknown';
  }

  get scopes(): Scope[] {
    return [...this.lostScopes.keys()];
  }

  /** Number of targets that other VMs reach and this one doesn't. */
  get lostTargets(): number {
    return [...this.failing.values()].filter(isPathLost).length;
  }

  /** Milliseconds since a target was last in contact with this VM. */
  quietMs(now: number): number {
    return now - this.contactAt;
  }

  /**
   * Targets whose lost paths should be tried now: up to `count`, the longest unprobed first, and none that was tried
   * within `intervalMs`. A target that nobody reaches isn't among them: its next request shows whether it is back.
   */
  dueForProbe(count: number, intervalMs: number, now: number): string[] {
    const due = [...this.failing.values()]
      .filter((each) => isPathLost(each))
      .filter(({ probedAt, failedAt }) => now - Math.max(probedAt, failedAt) >= intervalMs)
      .sort((a, b) => a.probedAt - b.probedAt)
      .slice(0, count);
    due.forEach((state) => Object.assign(state, { probedAt: now }));
    return due.map(({ endpoint }) => endpoint.id);
  }

  /**
   * What the targets of a scope point to that began to fail recently and since the last response from it. Failures of one
   * part alone don't count against the whole: those of one service say nothing about the others.
   */
  private judge(scope: Scope, now: number): 'lost' | 'suspected' | 'none' {
    const since = Math.max(now - MAX_FAILURE_AGE_MS, this.respondedTo.get(scope) ?? -Infinity);
    const all = this.ready().filter((endpoint) => scopesOf(endpoint).includes(scope));
    // Only ready ones count: a target that crashes repeatedly fails under several ids, one for each lifetime.
    const failing = all.filter(
      ({ id }) => (this.failing.get(id)?.failedSince ?? -Infinity) >= since,
    );
    const parts = partsOf(scope, all).size;
    if (partsOf(scope, failing).size < Math.min(MIN_FAILING_PARTS, parts)) return 'none';
    if (failing.length < FAILURES_TO_SUSPICION) return 'none';
    return failing.length >= Math.min(FAILURES_TO_LOSS, all.length) ? 'lost' : 'suspected';
  }
}

/** The scopes that a target belongs to. */
export function scopesOf({ service, dataCentre }: Endpoint): Scope[] {
  return [ALL, service, `${service}@${dataCentre}`];
}

/** A scope and those that enclose it. */
export function enclosingScopes(scope: Scope): Scope[] {
  const [service] = scope.split('@');
  return [...new Set([ALL, service, scope])];
}

/** The parts of a scope that its endpoints belong to. */
function partsOf(scope: Scope, endpoints: readonly Endpoint[]): Set<string> {
  const parts = endpoints.map((endpoint) => {
    const [all, service, cell] = scopesOf(endpoint);
    if (scope === all) return service;
    return scope === service ? cell : endpoint.id;
  });
  return new Set(parts);
}

function isPathLost({ failedSince, reachedElsewhereAt }: FailingTarget): boolean {
  return reachedElsewhereAt >= failedSince;
}
