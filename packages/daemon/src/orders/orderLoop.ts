/** While this daemon leads, sends targets the load and unload orders by which their models differ from the settings. */
import * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import type * as adapter from '../targets/adapter';

type Target = domain.target.target.Target;

export interface Leadership {
  term: number;
  since: number;
}

export interface Options {
  adapter: adapter.EngineAdapter;
  observer: observer.Observer;
  now: () => number;
  /** Term and start of this daemon's leadership; undefined unless it leads and has the lease. */
  leadership: () => Leadership | undefined;
  /** Models that the settings in force require. */
  requiredModels: () => domain.settings.document.Model[];
  targets: () => Target[];
  /** Keys of the models that this system has loaded; only these may be unloaded. */
  ownModels: () => ReadonlySet<string>;
  /** Records in the control log whether this system has loaded a model; resolves to whether that succeeded. */
  record: (key: string, loaded: boolean) => Promise<boolean>;
}

/** Wait after a change of leader: the former leader's lease plus the maximum delay of its last orders. */
const TAKEOVER_WAIT_MS =
  domain.replication.replica.DEFAULT_TIMING.electionMax + domain.placement.order.ORDER_DELAY_MS;

const ROUND_INTERVAL_MS = 500;

export class OrderLoop {
  private issuer: domain.placement.order.Issuer | undefined;

  private term = 0;

  private timer: NodeJS.Timeout | undefined;

  private isRunning = false;

  constructor(private readonly options: Options) {}

  start(): void {
    this.timer = setInterval(() => {
      void this.runRound();
    }, ROUND_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async runRound(): Promise<void> {
    const leadership = this.options.leadership();
    if (leadership === undefined || this.isRunning) return;
    this.isRunning = true;
    await this.issue(leadership);
    this.isRunning = false;
  }

  private async issue({ term, since }: Leadership): Promise<void> {
    if (this.issuer === undefined || this.term !== term) {
      this.issuer = new domain.placement.order.Issuer(term, since, TAKEOVER_WAIT_MS);
      this.term = term;
    }
    const targets = this.options.targets();
    const fencingOf = (name: string): domain.target.target.Fencing =>
      targets.find((target) => target.name === name)?.fencing ?? 'ignored';
    const differences = domain.placement.order.differences(
      this.options.requiredModels(),
      targets,
      this.options.ownModels(),
    );
    const orders = this.issuer.issue(differences, fencingOf, this.options.now());
    for (const order of orders) await this.send(order, targets);
  }

  private async send(
    order: domain.placement.order.Order,
    targets: readonly Target[],
  ): Promise<void> {
    const target = targets.find(({ name }) => name === order.target);
    if (target === undefined) return;
    const key = domain.placement.order.keyOf(order.target, order.model);
    // Recorded before it is sent: a model that was loaded but not recorded could never be unloaded.
    if (order.kind === 'load' && !(await this.options.record(key, true))) return;
    if (this.options.now() > order.expiresAt || this.options.leadership()?.term !== this.term)
      return;
    const sent = await this.options.adapter.order(target, order);
    const { kind, model, fence } = order;
    const fields = { target: order.target, kind, ...model, ...fence };
    if (sent.err) this.options.observer.log('orderRefused', { ...fields, detail: sent.val.detail });
    else this.options.observer.log('orderSent', fields);
    if (sent.ok && order.kind === 'unload') await this.options.record(key, false);
  }
}
