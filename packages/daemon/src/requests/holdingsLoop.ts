/**
 * Keeps what this daemon holds on engines: renews it, releases it until each engine confirmed, and
 * reclaims what dead daemons left behind. Of several survivors the one that keeps the target reclaims.
 */
import * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import type * as adapter from '../targets/adapter';

type Target = domain.target.target.Target;

export interface Options {
  adapter: adapter.EngineAdapter;
  observer: observer.Observer;
  now: () => number;
  target: (name: string) => Target | undefined;
  /** Engines that this daemon keeps, for reclaiming. */
  keptEngines: () => Target[];
  standing: (daemon: string) => domain.memory.holding.Standing;
  note: (action: string, subject: string, detail: string) => void;
}

const RELEASE_INTERVAL_MS = 100;

const RENEW_INTERVAL_MS = 5_000;

const RECLAIM_INTERVAL_MS = 3_000;

export class HoldingsLoop {
  readonly holdings = new domain.memory.holding.Holdings();

  private timers: NodeJS.Timeout[] = [];

  constructor(private readonly options: Options) {}

  start(): void {
    this.timers = [
      setInterval(() => this.releaseDue(), RELEASE_INTERVAL_MS),
      setInterval(() => this.renew(), RENEW_INTERVAL_MS),
      setInterval(() => this.reclaimAll(), RECLAIM_INTERVAL_MS),
    ];
  }

  stop(): void {
    this.timers.forEach((timer) => clearInterval(timer));
  }

  hold(target: Target, id: string, kind: domain.memory.holding.Kind): void {
    this.holdings.hold(target.name, target.incarnation, id, kind);
  }

  /** Releases now, and again until the engine confirmed. */
  release(target: string, id: string): void {
    this.holdings.release(target, id, this.options.now());
    this.releaseDue();
  }

  private releaseDue(): void {
    this.holdings.due(this.options.now()).forEach(({ target, id, kind }) => {
      void this.releaseOne(target, id, kind);
    });
  }

  private async releaseOne(
    name: string,
    id: string,
    kind: domain.memory.holding.Kind,
  ): Promise<void> {
    const target = this.options.target(name);
    if (target === undefined) return;
    const released = await this.options.adapter.release(target, id, kind);
    if (released.ok) this.holdings.confirmed(name, id);
    else this.options.observer.log('releaseRetried', { target: name, id });
  }

  private renew(): void {
    this.holdings.renewable().forEach(({ target: name, id }) => {
      const target = this.options.target(name);
      if (target === undefined) return;
      void this.options.adapter.renew(target, id, domain.memory.holding.LEASE_MS);
    });
  }

  private reclaimAll(): void {
    this.options.keptEngines().forEach((target) => {
      void this.reclaim(target);
    });
  }

  /** Only what the engine itself lists as ours, with an owner that is surely dead, is freed. */
  private async reclaim(target: Target): Promise<void> {
    const listed = await this.options.adapter.holdings(target);
    if (listed.err || listed.val.incarnation !== target.incarnation) return;
    const orphaned = listed.val.holdings.filter((holding) => {
      const ownerStatus = this.options.standing(holding.owner.daemon);
      return domain.memory.holding.judge(holding, ownerStatus) === 'reclaim';
    });
    for (const { id, kind, owner } of orphaned) {
      const released = await this.options.adapter.release(target, id, kind);
      if (released.ok) {
        this.options.observer.log('reclaimed', { target: target.name, id, owner: owner.daemon });
        this.options.note('reclaim', `${target.name}/${id}`, `owner ${owner.daemon} is dead`);
      }
    }
  }
}
