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
import * as callerResponse from './callerResponse';
import * as leaderCall from './leaderCall';
import * as leaderOutbox from './leaderOutbox';
import type * as rateLimitClient from './rateLimitClient';
import type * as targetClient from './targetClient';

type Lifetime = domain.quarantine.endedLifetimes.Lifetime;

export interface Dependencies extends leaderCall.Dependencies {
  holding: Pick<holding.Holding, 'registry' | 'directory' | 'takeLeaving'>;
  limits: Pick<rateLimitClient.RateLimitClient, 'answered'>;
  observer: observer.Observer;
  now: () => number;
}

/** A message that was sent. */
interface SentMessage {
  message: targetClient.TargetMessage;
  passage: domain.backOff.backOffs.Passage;
  at: number;
}

/** Most targets that leave and of which no leader has heard. */
const MAX_UNREPORTED_LIFETIMES = 500;

/** How long whoever may not try a target waits for what the trials of others show, milliseconds; some ways there and back. */
const CANARY_RESULT_WAIT_MS = 50;

export class TargetSignals implements targetClient.AdmissionGate {
  private readonly backOffs = new domain.backOff.backOffs.BackOffs();

  /** Births of targets that leave, by id. */
  private readonly draining = new Map<string, number>();

  /** Other entries hear it from the leader, before each has met an answer of its own. */
  private readonly drainReports = new leaderOutbox.LeaderOutbox<Lifetime>(
    (lifetimes) => this.reportDraining(lifetimes),
    MAX_UNREPORTED_LIFETIMES,
  );

  /** The leader that has heard of all that leave; empty for none. */
  private informedLeader = '';

  /** Messages under way by target, each on a connection of its own. */
  private readonly activeMessages = new Map<string, number>();

  /** Entries that share the connections that a target accepts; 0 while that isn't known. */
  private entries = 0;

  /** Targets that asked for a time that couldn't be read, each with one line of the log. */
  private readonly loggedUnreadable = new Set<string>();

  constructor(private readonly dependencies: Dependencies) {}

  get backingOff(): number {
    return this.backOffs.size;
  }

  admit(message: targetClient.TargetMessage): targetClient.DeliveryCallbacks | undefined {
    const { now } = this.dependencies;
    const { target, purpose } = message;
    if (!this.accepts(target, purpose)) {
      this.dependencies.observer.count(`messages.withheld.${purpose}`);
      return undefined;
    }
    const passage = this.backOffs.sent(target, now());
    const sent = { message, passage, at: now() };
    this.countActive(target, 1);
    return {
      answered: (head) => this.answered(sent, head),
      ended: () => {
        passage.ended();
        this.countActive(target, -1);
      },
    };
  }

  /** Targets of a service that take no request from this entry now. */
  unavailable(service: string): string[] {
    const { registry } = this.dependencies.holding;
    const ids = new Set([
      ...this.backOffs.targets,
      ...this.draining.keys(),
      ...this.activeMessages.keys(),
    ]);
    return [...ids].filter((id) => {
      const isOfService = registry.get(id)?.service === service;
      return isOfService && !this.accepts(id, 'request');
    });
  }

  /** For how long a target still wants nothing, milliseconds; 0 where it didn't ask for that, or the time is over. */
  backOffMs(target: string): number {
    return this.backOffs.waitMs(target, this.dependencies.now());
  }

  /** Until a target that is closed may take a request, milliseconds. */
  waitMs(target: string): number {
    return Math.max(CANARY_RESULT_WAIT_MS, this.backOffMs(target));
  }

  /** A lifetime ended. */
  forget({ id, bornAt }: Lifetime): void {
    this.backOffs.forget(id, this.dependencies.now());
    this.loggedUnreadable.delete(id);
    if (this.draining.get(id) === bornAt) this.draining.delete(id);
  }

  /** A leader confirmed this entry, one of so many: one that is new may not know yet who leaves. */
  leaderFound(leader: string, entries: number): void {
    if (entries > 0) this.entries = entries;
    if (leader === this.informedLeader) return;
    this.informedLeader = leader;
    this.draining.forEach((bornAt, id) => {
      void this.drainReports.send({ id, bornAt });
    });
  }

  leaderLost(): void {
    this.informedLeader = '';
  }

  /** What no leader has taken by now stays untold. */
  close(): void {
    this.drainReports.close();
  }

  private accepts(target: string, purpose: targetClient.MessagePurpose): boolean {
    const now = this.dependencies.now();
    // What runs there goes on, and its memory with it.
    const isNew = purpose === 'request' || purpose === 'order';
    if (isNew && (this.isDraining(target) || !this.hasFreeConnection(target))) return false;
    if (purpose === 'upkeep') return this.backOffs.takesUpkeep(target, now);
    return this.backOffs.takesRequest(target, now);
  }

  private answered(sentMessage: SentMessage, head: targetClient.ResponseHead): void {
    if (!isFromTarget(sentMessage.message, head.facts)) return;
    this.recordBackOff(sentMessage, head);
    this.recordLimit(sentMessage, head);
    if (head.facts.isLeaving) this.recordDraining(sentMessage);
  }

  /** Of two lifetimes with one id the later one answered: connections to the other one ended with it. */
  private recordDraining({ message: { target, requestId: request } }: SentMessage): void {
    if (this.isDraining(target)) return;
    const lifetime = this.lifetimeOf(target);
    const { bornAt } = lifetime;
    this.draining.set(target, bornAt);
    this.dependencies.observer.log('targetLeaving', { target, bornAt, request });
    this.dependencies.holding.takeLeaving(lifetime);
    void this.drainReports.send(lifetime);
  }

  private recordBackOff(
    sentMessage: SentMessage,
    { status, facts }: targetClient.ResponseHead,
  ): void {
    const { message, passage } = sentMessage;
    const { backOff } = facts;
    const { observer: observe, now } = this.dependencies;
    if (backOff.kind === 'none') {
      passage.answered();
      return;
    }
    observe.count(`backOffs.${backOff.kind}`);
    const { requestId: request, target, purpose } = message;
    if (backOff.kind === 'unreadable') {
      if (this.loggedUnreadable.has(target)) return;
      this.loggedUnreadable.add(target);
      observe.log('backOffAsked', { request, target, purpose, status });
      return;
    }
    const { forMs } = backOff;
    const keptMs = Math.round(this.backOffs.ask(target, forMs, now()));
    observe.log('backOffAsked', { request, target, purpose, status, forMs, keptMs });
  }

  private recordLimit(
    { message, at }: SentMessage,
    { status, facts }: targetClient.ResponseHead,
  ): void {
    const { requestId = '', target, address } = message;
    const { limit, isSigned, isEncoded, isNotRun } = facts;
    // Only the target's own success shows that it names no limit; others write some of its failures.
    const isSuccess = isSigned && !isEncoded && !isNotRun && status < callerResponse.FAILURE_STATUS;
    if (limit.kind === 'none' && !isSuccess) return;
    const service = this.dependencies.holding.registry.get(target)?.service;
    if (service === undefined) return;
    const answeredRequest = { requestId, target, service, address, status, sentAt: at };
    this.dependencies.limits.answered(answeredRequest, limit);
  }

  private countActive(target: string, change: 1 | -1): void {
    const count = (this.activeMessages.get(target) ?? 0) + change;
    if (count > 0) this.activeMessages.set(target, count);
    else this.activeMessages.delete(target);
  }

  /** Whether a target has a connection left for this entry. Each has an equal part of what the target accepts, and one at least. */
  private hasFreeConnection(target: string): boolean {
    const { registry, directory } = this.dependencies.holding;
    const service = directory?.service(registry.get(target)?.service ?? '');
    if (service === undefined) return true;
    const share = Math.floor(service.maxConnections / Math.max(1, this.entries));
    return (this.activeMessages.get(target) ?? 0) < Math.max(1, share);
  }

  private isDraining(target: string): boolean {
    return this.draining.get(target) === this.lifetimeOf(target).bornAt;
  }

  private async reportDraining(lifetimes: readonly Lifetime[]): Promise<boolean> {
    const content: messages.Leaving = { lifetimes: [...lifetimes] };
    const accepted = await leaderCall.call<messages.TakenAnswer>(
      this.dependencies,
      'leaving',
      content,
    );
    return accepted !== undefined;
  }

  private lifetimeOf(id: string): Lifetime {
    return { id, bornAt: this.dependencies.holding.registry.get(id)?.bornAt ?? 0 };
  }
}

/** Whether an answer is what the target that was meant says to this message. */
function isFromTarget(
  { requestId = '' }: targetClient.TargetMessage,
  { requestId: answeredId = '', isWrongLifetime, isSigned, isNotRun }: protocols.AnswerFacts,
): boolean {
  if (isWrongLifetime || answeredId !== requestId) return false;
  return requestId === '' || isSigned || isNotRun;
}
