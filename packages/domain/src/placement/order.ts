/**
 * Orders to targets: load a model, adapter and version, or unload it. The desired state follows
 * from the settings; an order is the difference to what a target reports. Orders carry a fencing
 * number (term, sequence). Some targets refuse old numbers; for those that ignore them, safety
 * depends on time: a lease allows one issuer at a time, every order expires, and a new issuer waits
 * before its first order to such a target.
 */
import * as document from '../settings/document';
import * as target from '../target/target';

export interface Fence {
  term: number;
  sequence: number;
}

export interface Order {
  kind: 'load' | 'unload';
  target: string;
  model: target.Loaded;
  fence: Fence;
  /** Milliseconds; a target or the path to it must drop the order after this. */
  expiresAt: number;
}

/** Whether an order is no newer than the latest one that the target accepted. */
export function isStale(order: Fence, latest: Fence): boolean {
  return (
    order.term < latest.term || (order.term === latest.term && order.sequence <= latest.sequence)
  );
}

/** Longest time an order may be in transit, in milliseconds. */
export const ORDER_DELAY_MS = 2_000;

function sameModel(a: target.Loaded, b: target.Loaded): boolean {
  return a.base === b.base && a.adapter === b.adapter && a.version === b.version;
}

/**
 * Keys of the models that this system loaded and may therefore unload; all others belong to the
 * older system.
 */
export type OwnedModels = ReadonlySet<string>;

export function keyOf(name: string, model: target.Loaded): string {
  return [name, model.base, model.adapter, model.version].join('/');
}

export interface Difference {
  kind: 'load' | 'unload';
  target: string;
  model: target.Loaded;
  /** Lower goes first: a model that no target serves comes before a further copy. */
  urgency: number;
}

/**
 * The differences between the desired and the reported state. A new version is loaded wherever its
 * base already runs; an old version is unloaded only where its successor is loaded, and only if
 * this system loaded it.
 */
export function differences(
  desiredModels: readonly document.Model[],
  targets: readonly target.Target[],
  owned: OwnedModels,
): Difference[] {
  const models: target.Loaded[] = desiredModels.map(({ base, adapter, version }) => {
    return { base, adapter, version };
  });
  const engines = targets.filter(({ kind, status }) => kind === 'engine' && status === 'serving');
  const loads = models.flatMap((model) => {
    const serving = engines.filter((engine) => target.serves(engine, model)).length;
    return engines
      .filter((engine) => engine.models.some(({ base }) => base === model.base))
      .filter((engine) => !target.serves(engine, model))
      .map((engine): Difference => {
        return { kind: 'load', target: engine.name, model, urgency: serving === 0 ? 0 : 1 };
      });
  });
  const unloads = engines.flatMap((engine) =>
    engine.models
      .filter((model) => owned.has(keyOf(engine.name, model)))
      .filter((model) => !models.some((each) => sameModel(each, model)))
      .filter((model) => replacementIsUp(engine, model, models))
      .map((model): Difference => ({ kind: 'unload', target: engine.name, model, urgency: 2 })),
  );
  return [...loads, ...unloads].sort((a, b) => a.urgency - b.urgency);
}

function replacementIsUp(
  engine: target.Target,
  old: target.Loaded,
  desiredModels: readonly target.Loaded[],
): boolean {
  const successors = desiredModels.filter(
    ({ base, adapter }) => base === old.base && adapter === old.adapter,
  );
  return successors.every((model) => target.serves(engine, model));
}

export interface Options {
  /** Loads per second that the weight store sustains. */
  loadsPerSecond: number;
  /** Interval between two identical orders to the same target, in milliseconds. */
  repeatMs: number;
}

export const DEFAULT_OPTIONS: Options = { loadsPerSecond: 2, repeatMs: 10_000 };

/** Issues orders for one leader. A new leader creates a new issuer. */
export class Issuer {
  private sequence = 0;

  private loadTokens = 1;

  private refilledAt: number;

  private readonly issuedAt = new Map<string, number>();

  /**
   * @param term the leader's term
   * @param since when it became leader
   * @param formerOrdersMs how long the former leader's lease and its orders may remain in effect
   */
  constructor(
    private readonly term: number,
    private readonly since: number,
    private readonly formerOrdersMs: number,
    private readonly options: Options = DEFAULT_OPTIONS,
  ) {
    this.refilledAt = since;
  }

  /** The orders to send now. */
  issue(
    needed: readonly Difference[],
    fencingOf: (name: string) => target.Fencing,
    now: number,
  ): Order[] {
    this.refill(now);
    const orders: Order[] = [];
    needed.forEach((difference) => {
      const key = `${difference.kind}/${keyOf(difference.target, difference.model)}`;
      const wasIssuedRecently = now - (this.issuedAt.get(key) ?? -Infinity) < this.options.repeatMs;
      // A target that ignores fencing numbers would apply a late order of the former leader after a
      // new one and end in the former state. So it gets nothing until no such order can be left.
      const mayBeOvertaken =
        fencingOf(difference.target) === 'ignored' && now < this.since + this.formerOrdersMs;
      if (wasIssuedRecently || mayBeOvertaken || !this.takeLoadToken(difference)) return;
      this.issuedAt.set(key, now);
      orders.push(this.order(difference, now));
    });
    return orders;
  }

  private order({ kind, target: name, model }: Difference, now: number): Order {
    this.sequence += 1;
    const fence = { term: this.term, sequence: this.sequence };
    return { kind, target: name, model, fence, expiresAt: now + ORDER_DELAY_MS };
  }

  private refill(now: number): void {
    const gained = ((now - this.refilledAt) / 1_000) * this.options.loadsPerSecond;
    this.loadTokens = Math.min(Math.max(1, this.options.loadsPerSecond), this.loadTokens + gained);
    this.refilledAt = now;
  }

  private takeLoadToken({ kind }: Difference): boolean {
    if (kind === 'unload') return true;
    if (this.loadTokens < 1) return false;
    this.loadTokens -= 1;
    return true;
  }
}
