/**
 * Maintains the resources that this daemon leases on engines: renews them, repeats releases until the engine
 * confirms them, and reclaims those of dead daemons. Among the survivors the keeper of the target reclaims.
 */
import * as domain from '@celerydrift/domain';
import * as background from '../background';
import type * as observer from '../observability/observer';
import type * as adapter from '../targets/adapter';

type Target = domain.target.target.Target;

export interface Options {
  adapter: adapter.EngineAdapter;
  observer: observer.Observer;
  now: () => number;
  target: (name: string) => Target | undefined;
  /** Engines whose keeper is this daemon; it reclaims the leases of dead daemons there. */
  keptEngines: () => Target[];
  /** What is known about the daemon that owns a lease. */
  ownerStatus: (daemon: string) => domain.memory.leasedResources.OwnerStatus;
  /** Writes an entry to the audit trail. */
  audit: (action: string, subject: string, detail: string) => void;
}

const RELEASE_INTERVAL_MS = 100;

const RENEW_INTERVAL_MS = 5_000;

const RECLAIM_INTERVAL_MS = 3_000;

export class LeaseLoop {
  /** The resources that this daemon leases. */
  readonly leases = new domain.memory.leasedResources.LeasedResources();

  private timers: NodeJS.Timeout[] = [];

  constructor(private readonly options: Options) {}

  start(): void {
    this.timers = [
      setInterval(() => this.releaseDue(), RELEASE_INTERVAL_MS),
      setInterval(() => this.renewAll(), RENEW_INTERVAL_MS),
      setInterval(() => this.reclaimAll(), RECLAIM_INTERVAL_MS),
    ];
  }

  stop(): void {
    this.timers.forEach((timer) => clearInterval(timer));
  }

  addLease(target: Target, id: string, kind: domain.memory.leasedResources.Kind): void {
    this.leases.add(target.name, target.incarnation, id, kind);
  }

  /** Releases a resource at once, and again until the engine confirms it. */
  release(target: string, id: string): void {
    this.leases.release(target, id, this.options.now());
    this.releaseDue();
  }

  private releaseDue(): void {
    this.leases.dueReleases(this.options.now()).forEach(({ target, id, kind }) => {
      background.run(this.releaseOne(target, id, kind), this.options.observer, { target, id });
    });
  }

  private async releaseOne(
    name: string,
    id: string,
    kind: domain.memory.leasedResources.Kind,
  ): Promise<void> {
    const target = this.options.target(name);
    if (target === undefined) return;
    const released = await this.options.adapter.release(target, id, kind);
    if (released.ok) this.leases.confirmRelease(name, id);
    else this.options.observer.log('releaseRetried', { target: name, id });
  }

  private renewAll(): void {
    this.leases.renewable().forEach(({ target: name, id }) => {
      const target = this.options.target(name);
      if (target === undefined) return;
      const renewed = this.options.adapter.renew(
        target,
        id,
        domain.memory.leasedResources.LEASE_MS,
      );
      background.run(renewed, this.options.observer, { target: name, id });
    });
  }

  private reclaimAll(): void {
    this.options.keptEngines().forEach((target) => {
      background.run(this.reclaim(target), this.options.observer, { target: target.name });
    });
  }

  /** Frees only what the engine itself lists for this system and whose owner is dead or has restarted. */
  private async reclaim(target: Target): Promise<void> {
    const listed = await this.options.adapter.holdings(target);
    if (listed.err || listed.val.incarnation !== target.incarnation) return;
    const orphaned = listed.val.holdings.filter((holding) => {
      const ownerStatus = this.options.ownerStatus(holding.owner.daemon);
      return domain.memory.leasedResources.classify(holding, ownerStatus) === 'reclaim';
    });
    for (const { id, kind, owner } of orphaned) {
      const released = await this.options.adapter.release(target, id, kind);
      if (released.ok) {
        this.options.observer.log('reclaimed', { target: target.name, id, owner: owner.daemon });
        this.options.audit('reclaim', `${target.name}/${id}`, `owner ${owner.daemon} is dead`);
      }
    }
  }
}
