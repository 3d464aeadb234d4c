/**
 * The order in which waiting requests are tried: by urgency class; then those that can still be on time, those that
 * were refused before, and the other late ones; then fairly between organisations by prompt tokens; then by waiting
 * time as a share of the objective. During an overload of a kind its newest requests go first, because oldest first
 * makes every request wait until it is just too late.
 */
import * as overload from './overload';
import * as usualDemand from './usualDemand';
import * as virtualTime from './virtualTime';

export interface Waiting {
  service: string;
  organisation: string;
  /** Urgency class; 0 is the most urgent. */
  urgency: number;
  tokens: number;
  objectiveMs: number;
  /** Time since which its caller waits. */
  callerSince: number;
  inTimeUntil: number;
  /** Whether it was refused before, or was already sent to a target. */
  isReturning: boolean;
}

export interface OverloadChange {
  service: string;
  objectiveMs: number;
  change: 'began' | 'ended';
}

/**
 * Share of its objective after which a request is raised by one urgency class. Later it couldn't be on time even if it
 * got the next slot, so less urgent requests would only be served late.
 */
const AGEING_SHARE = 0.6;

/**
 * Prompt tokens of late requests that are served for each token of those that can be on time, while both wait. A late
 * answer is worth a quarter of one on time, so the share is small, but without it a size that is always late would
 * starve. Counted in tokens, as a long prompt delays many short ones.
 */
const LATE_SHARE = 0.01;

/**
 * How long no request that can be on time must have waited before late ones are served freely, in objectives. Without
 * this pause late requests took every slot that became free between two arrivals, so that those had to wait as well.
 */
const LATE_PAUSE_OBJECTIVES = 0.5;

interface Ranked<T> {
  item: T;
  kind: string;
  urgency: number;
  lateness: number;
  start: number;
  position: number;
}

export class WaitingOrder {
  readonly demand = new usualDemand.UsualDemand();

  private readonly virtualTime = new virtualTime.VirtualTime();

  private readonly overloads = new Map<string, overload.Overload>();

  /** Time until which late requests of a kind wait, unless they are owed their tokens. */
  private readonly lateHeldUntil = new Map<string, number>();

  /** Tokens that late requests are owed. */
  private owedTokens = 0;

  private weights = this.demand.weights(0);

  constructor(private readonly onOverload: (change: OverloadChange) => void = () => undefined) {}

  /** Whether nothing depends on a further call of `arrange` while no request waits. */
  get isIdle(): boolean {
    return this.overloads.size === 0 && this.virtualTime.isClear;
  }

  /**
   * The requests to try in this order. Late ones are left out, except for one that is owed its tokens, until no request
   * of their kind that can be on time has waited for a while.
   */
  arrange<T extends Waiting>(items: readonly T[], now: number): T[] {
    if (items.length === 0) this.virtualTime.clear();
    this.observeOverload(items, now);
    this.weights = this.demand.weights(now);
    const ranked = items.map((item) => this.rank(item, now));
    if (this.demand.isObserved(now)) this.setStarts(ranked);
    ranked.sort((a, b) => compareClasses(a, b) || a.start - b.start || b.position - a.position);
    return this.limitLate(ranked, now).map(({ item }) => item);
  }

  /** Whether late requests of this kind leave the slots to those that can be on time. */
  holdsLate(request: Pick<Waiting, 'service' | 'objectiveMs'>, now: number): boolean {
    return this.holdsLateOf(kindOf(request), now);
  }

  private holdsLateOf(kind: string, now: number): boolean {
    return (this.lateHeldUntil.get(kind) ?? 0) > now;
  }

  /** Counts a request that got a slot while others waited. */
  served(item: Waiting, now: number): void {
    const { organisation, tokens } = item;
    const start = this.virtualTime.startOf(organisation);
    this.virtualTime.charge(organisation, start, tokens / this.weights.of(organisation));
    this.virtualTime.advance(start);
    if (item.inTimeUntil <= now) this.owedTokens = Math.max(0, this.owedTokens - tokens);
    else this.owedTokens += LATE_SHARE * tokens;
  }

  private rank<T extends Waiting>(item: T, now: number): Ranked<T> {
    const { urgency, objectiveMs, callerSince, inTimeUntil, isReturning } = item;
    const share = (now - callerSince) / objectiveMs;
    // A late request gains nothing from a higher class, and would delay those of that class that can be on time.
    const raised = inTimeUntil > now ? Math.floor(share / AGEING_SHARE) : 0;
    const kind = kindOf(item);
    const isNewestFirst = this.overloads.get(kind)?.isOn === true;
    const lateRank = isReturning ? 1 : 2;
    return {
      item,
      kind,
      urgency: Math.max(0, urgency - raised),
      lateness: inTimeUntil > now ? 0 : lateRank,
      start: 0,
      position: isNewestFirst ? 1 - share : share,
    };
  }

  /** Sets the virtual start times that the requests would have if all were served in this order. */
  private setStarts<T extends Waiting>(ranked: Ranked<T>[]): void {
    const starts = new Map<string, number>();
    ranked
      .sort((a, b) => compareClasses(a, b) || b.position - a.position)
      .forEach((each) => {
        const { organisation, tokens } = each.item;
        const start = starts.get(organisation) ?? this.virtualTime.startOf(organisation);
        each.start = start;
        starts.set(organisation, start + tokens / this.weights.of(organisation));
      });
  }

  /** Puts a late request first that is owed its tokens, and leaves out those that must wait. */
  private limitLate<T extends Waiting>(ranked: readonly Ranked<T>[], now: number): Ranked<T>[] {
    const isLate = ({ lateness }: Ranked<T>): boolean => lateness > 0;
    const late = ranked.filter(isLate);
    // Not more than one request is owed, so that late ones don't take a series of slots after a long burst.
    this.owedTokens = Math.min(
      this.owedTokens,
      Math.max(0, ...late.map(({ item }) => item.tokens)),
    );
    const owed = late.filter(({ item }) => item.tokens <= this.owedTokens).slice(0, 1);
    const isFree = (each: Ranked<T>): boolean => !isLate(each) || !this.holdsLateOf(each.kind, now);
    return [...owed, ...ranked.filter((each) => isFree(each) && !owed.includes(each))];
  }

  private observeOverload(items: readonly Waiting[], now: number): void {
    const longest = new Map<string, Waiting>();
    items
      .filter(({ inTimeUntil }) => inTimeUntil > now)
      .forEach((item) => {
        const kind = kindOf(item);
        const current = longest.get(kind);
        if (current === undefined || item.callerSince < current.callerSince)
          longest.set(kind, item);
      });
    longest.forEach(({ objectiveMs }, kind) => {
      this.lateHeldUntil.set(kind, now + LATE_PAUSE_OBJECTIVES * objectiveMs);
      if (!this.overloads.has(kind)) this.overloads.set(kind, new overload.Overload(objectiveMs));
    });
    this.overloads.forEach((each, kind) => {
      const oldest = longest.get(kind);
      const change = each.observe(oldest === undefined ? 0 : now - oldest.callerSince, now);
      if (change !== undefined) this.report(kind, change);
      if (oldest === undefined && !each.isOn) this.overloads.delete(kind);
    });
  }

  private report(kind: string, change: 'began' | 'ended'): void {
    const [objectiveMs, service] = kind.split(' ');
    this.onOverload({ service, objectiveMs: Number(objectiveMs), change });
  }
}

/** Requests of one service with the same objective are of one kind. */
export function kindOf({ service, objectiveMs }: Pick<Waiting, 'service' | 'objectiveMs'>): string {
  return `${objectiveMs} ${service}`;
}

function compareClasses<T>(a: Ranked<T>, b: Ranked<T>): number {
  return a.urgency - b.urgency || a.lateness - b.lateness;
}
