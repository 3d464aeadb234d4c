/**
 * What targets say of themselves in their answers, and what this entry believes and tells from then on. Every message to a target,
 * whatever it is for, passes here twice: before it is sent, as its target may want none, and when its answer begins.
 *
 * Only a lifetime's own word counts: an answer to this very message, from the target that was meant. One that belongs to another
 * request, or that nobody signed and that promises nothing, says nothing of the target.
 */
import * as domain from '@celerydrift/domain';
import type * as protocols from '../edges/protocols';
import type * as holding from '../fleet/holding';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';
import * as answer from './answer';
import * as leaderCall from './leaderCall';
import * as leaderOutbox from './leaderOutbox';
import type * as limitWatch from './limitWatch';
import type * as targetClient from './targetClient';

type Lifetime = domain.quarantine.endedLifetimes.Lifetime;

export interface Parts extends leaderCall.Parts {
  holding: Pick<holding.Holding, 'registry' | 'directory' | 'takeLeaving'>;
  limits: Pick<limitWatch.LimitWatch, 'answered'>;
  observer: observer.Observer;
  now: () => number;
}

/** A message that was sent. */
interface Sent {
  sending: targetClient.Sending;
  passage: domain.backOff.backOffs.Passage;
  at: number;
}

/** Most targets that leave and of which no leader has heard. */
const MOST_UNTOLD = 500;

/** How long whoever may not try a target waits for what the trials of others show, milliseconds; some ways there and back. */
const TRIAL_MS = 50;

export class TargetSignals implements targetClient.Gate {
  private readonly backOffs = new domain.backOff.backOffs.BackOffs();

  /** Births of targets that leave, by id. */
  private readonly leaving = new Map<string, number>();

  /** Other entries hear it from the leader, before each has met an answer of its own. */
  private readonly departures = new leaderOutbox.LeaderOutbox<Lifetime>(
    (lifetimes) => this.tellLeader(lifetimes),
    MOST_UNTOLD,
  );

  /** The leader that has heard of all that leave; empty for none. */
  private told = '';

  /** Messages under way by target, each on a connection of its own. */
  private readonly underWay = new Map<string, number>();

  /** Entries that share the connections that a target accepts; 0 while that isn't known. */
  private entries = 0;

  /** Targets that asked for a time that couldn't be read, each with one line of the log. */
  private readonly unreadable = new Set<string>();

  constructor(private readonly parts: Parts) {}

  get backingOff(): number {
    return this.backOffs.size;
  }

  admit(sending: targetClient.Sending): targetClient.Delivery | undefined {
    const { now } = this.parts;
    const { target, purpose } = sending;
    if (!this.takes(target, purpose)) {
      this.parts.observer.count(`messages.withheld.${purpose}`);
      return undefined;
    }
    const passage = this.backOffs.sent(target, now());
    const sent = { sending, passage, at: now() };
    this.countUnderWay(target, 1);
    return {
      answered: (head) => this.answered(sent, head),
      ended: () => {
        passage.ended();
        this.countUnderWay(target, -1);
      },
    };
  }

  /** Targets of a service that take no request from this entry now. */
  closed(service: string): string[] {
    const { registry } = this.parts.holding;
    const ids = new Set([
      ...this.backOffs.targets,
      ...this.leaving.keys(),
      ...this.underWay.keys(),
    ]);
    return [...ids].filter((id) => {
      const isOfService = registry.get(id)?.service === service;
      return isOfService && !this.takes(id, 'request');
    });
  }

  /** For how long a target still wants nothing, milliseconds; 0 where it didn't ask for that, or the time is over. */
  backOffMs(target: string): number {
    return this.backOffs.waitMs(target, this.parts.now());
  }

  /** Until a target that is closed may take a request, milliseconds. */
  waitMs(target: string): number {
    return Math.max(TRIAL_MS, this.backOffMs(target));
  }

  /** A lifetime ended. */
  forget({ id, bornAt }: Lifetime): void {
    this.backOffs.forget(id, this.parts.now());
    this.unreadable.delete(id);
    if (this.leaving.get(id) === bornAt) this.leaving.delete(id);
  }

  /** A leader confirmed this entry, one of so many: one that is new may not know yet who leaves. */
  leaderFound(leader: string, entries: number): void {
    if (entries > 0) this.entries = entries;
    if (leader === this.told) return;
    this.told = leader;
    this.leaving.forEach((bornAt, id) => {
      void this.departures.tell({ id, bornAt });
    });
  }

  leaderLost(): void {
    this.told = '';
  }

  /** What no leader has taken by now stays untold. */
  close(): void {
    this.departures.close();
  }

  private takes(target: string, purpose: targetClient.Purpose): boolean {
    const now = this.parts.now();
    // What runs there goes on, and its memory with it.
    const isNew = purpose === 'request' || purpose === 'order';
    if (isNew && (this.leaves(target) || !this.hasConnection(target))) return false;
    if (purpose === 'upkeep') return this.backOffs.takesUpkeep(target, now);
    return this.backOffs.takesRequest(target, now);
  }

  private answered(sent: Sent, head: targetClient.Head): void {
    if (!isOwn(sent.sending, head.facts)) return;
    this.takeBackOff(sent, head);
    this.takeLimit(sent, head);
    if (head.facts.isLeaving) this.takeLeaving(sent);
  }

  /** Of two lifetimes with one id the later one answered: connections to the other one ended with it. */
  private takeLeaving({ sending: { target, requestId: request } }: Sent): void {
    if (this.leaves(target)) return;
    const lifetime = this.lifetimeOf(target);
    const { bornAt } = lifetime;
    this.leaving.set(target, bornAt);
    this.parts.observer.log('targetLeaving', { target, bornAt, request });
    this.parts.holding.takeLeaving(lifetime);
    void this.departures.tell(lifetime);
  }

  private takeBackOff(sent: Sent, { status, facts }: targetClient.Head): void {
    const { sending, passage } = sent;
    const { backOff } = facts;
    const { observer: observe, now } = this.parts;
    if (backOff.kind === 'none') {
      passage.answered();
      return;
    }
    observe.count(`backOffs.${backOff.kind}`);
    const { requestId: request, target, purpose } = sending;
    if (backOff.kind === 'unreadable') {
      if (this.unreadable.has(target)) return;
      this.unreadable.add(target);
      observe.log('backOffAsked', { request, target, purpose, status });
      return;
    }
    const { forMs } = backOff;
    const keptMs = Math.round(this.backOffs.ask(target, forMs, now()));
    observe.log('backOffAsked', { request, target, purpose, status, forMs, keptMs });
  }

  private takeLimit({ sending, at }: Sent, { status, facts }: targetClient.Head): void {
    const { requestId = '', target, address } = sending;
    const { limit, isSigned, isEncoded, isNotRun } = facts;
    // Only the target's own success shows that it names no limit; others write some of its failures.
    const isSuccess = isSigned && !isEncoded && !isNotRun && status < answer.FAILURE_STATUS;
    if (limit.kind === 'none' && !isSuccess) return;
    const service = this.parts.holding.registry.get(target)?.service;
    if (service === undefined) return;
    const answered = { requestId, target, service, address, status, sentAt: at };
    this.parts.limits.answered(answered, limit);
  }

  private countUnderWay(target: string, more: 1 | -1): void {
    const count = (this.underWay.get(target) ?? 0) + more;
    if (count > 0) this.underWay.set(target, count);
    else this.underWay.delete(target);
  }

  /** Whether a target has a connection left for this entry. Each has an equal part of what the target accepts, and one at least. */
  private hasConnection(target: string): boolean {
    const { registry, directory } = this.parts.holding;
    const service = directory?.service(registry.get(target)?.service ?? '');
    if (service === undefined) return true;
    const share = Math.floor(service.maxConnections / Math.max(1, this.entries));
    return (this.underWay.get(target) ?? 0) < Math.max(1, share);
  }

  private leaves(target: string): boolean {
    return this.leaving.get(target) === this.lifetimeOf(target).bornAt;
  }

  private async tellLeader(lifetimes: readonly Lifetime[]): Promise<boolean> {
    const content: messages.Leaving = { lifetimes: [...lifetimes] };
    const answered = await leaderCall.ask<messages.TakenAnswer>(this.parts, 'leaving', content);
    return answered !== undefined;
  }

  private lifetimeOf(id: string): Lifetime {
    return { id, bornAt: this.parts.holding.registry.get(id)?.bornAt ?? 0 };
  }
}

/** Whether an answer is what the target that was meant says to this message. */
function isOwn(
  { requestId = '' }: targetClient.Sending,
  { requestId: answeredId = '', isWrongLifetime, isSigned, isNotRun }: protocols.AnswerFacts,
): boolean {
  if (isWrongLifetime || answeredId !== requestId) return false;
  return requestId === '' || isSigned || isNotRun;
}
