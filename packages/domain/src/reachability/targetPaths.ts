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

/** What changed for a scope; `afterMs` is how long it was lost. */
export type ScopeChange =
  { scope: Scope; change: 'lost' } | { scope: Scope; change: 'restored'; afterMs: number };

/** Scope of all targets. */
export const ALL: Scope = 'all';

/**
 * Number of parts of a scope that must fail, with no success in the scope between, before it counts as lost: targets of
 * a data centre, data centres of a service, services. A scope with fewer parts counts as lost when all of them fail.
 */
const FAILURES_TO_LOSS = 2;

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

  /** A connection attempt failed, or a probe got no response. Returns the scopes that are lost. */
  failed(endpoint: Endpoint, now: number): ScopeChange[] {
    const state = this.failing.get(endpoint.id) ?? {
      endpoint,
      failedSince: now,
      failedAt: now,
      reachedElsewhereAt: -Infinity,
      probedAt: -Infinity,
    };
    state.failedAt = now;
    this.failing.set(endpoint.id, state);
    return scopesOf(endpoint)
      .filter((scope) => !this.lostScopes.has(scope) && this.isLossLikely(scope, now))
      .map((scope) => {
        this.lostScopes.set(scope, now);
        return { scope, change: 'lost' };
      });
  }

  /** Another VM reached a target that this one may not reach. */
  reachedElsewhere(id: string, now: number): void {
    const state = this.failing.get(id);
    if (state !== undefined) state.reachedElsewhereAt = now;
  }

  /** The target is gone, or its lifetime ended. */
  forget(id: string): void {
    this.failing.delete(id);
  }

  /** Whether messages to the target should go by way of another VM. */
  isLost(endpoint: Endpoint): boolean {
    const state = this.failing.get(endpoint.id);
    if (state !== undefined && isPathLost(state)) return true;
    return scopesOf(endpoint).some((scope) => this.lostScopes.has(scope));
  }

  /** Since when this VM has reached no target at all; undefined if it reaches some. */
  get isolatedSince(): number | undefined {
    return this.lostScopes.get(ALL);
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
   * Whether enough parts of a scope have begun to fail, recently and since the last success in it. Failures of one part
   * alone don't count against the whole: those of one service say nothing about the others.
   */
  private isLossLikely(scope: Scope, now: number): boolean {
    const since = Math.max(now - MAX_FAILURE_AGE_MS, this.respondedTo.get(scope) ?? -Infinity);
    const failing = [...this.failing.values()]
      .filter(({ failedSince }) => failedSince >= since)
      .map(({ endpoint }) => endpoint);
    const parts = partsOf(scope, this.ready());
    return partsOf(scope, failing).size >= Math.min(FAILURES_TO_LOSS, Math.max(1, parts.size));
  }
}

/** The scopes that a target belongs to. */
export function scopesOf({ service, dataCentre }: Endpoint): Scope[] {
  return [ALL, service, `${service}@${dataCentre}`];
}

/** The parts of a scope that the endpoints belong to. */
function partsOf(scope: Scope, endpoints: readonly Endpoint[]): Set<string> {
  const parts = endpoints.flatMap((endpoint) => {
    const [all, service, cell] = scopesOf(endpoint);
    if (scope === all) return [service];
    if (scope === service) return [cell];
    return scope === cell ? [endpoint.id] : [];
  });
  return new Set(parts);
}

function isPathLost({ failedSince, reachedElsewhereAt }: FailingTarget): boolean {
  return reachedElsewhereAt >= failedSince;
}
