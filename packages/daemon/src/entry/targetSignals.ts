/**
 * Handles the signals that targets give in their responses: back-off, rate limits and draining. Every message to a
 * target passes here twice: before it is sent, as the target may be unavailable or in an evacuated data centre, and
 * when the head of its response arrives.
 *
 * Only a response to the message itself, from the addressed lifetime, counts as a signal of the target. A response to
 * another request, or one that is neither signed nor a guarantee that the request didn't run, is ignored.
 */
import * as domain from '@celerydrift/domain';
import type * as protocols from '../edges/protocols';
import type * as fleetState from '../fleet/fleetState';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';
import * as callerResponse from './callerResponse';
import type * as coldGrants from './coldGrants';
import * as leaderCall from './leaderCall';
import * as leaderOutbox from './leaderOutbox';
import type * as rateLimitClient from './rateLimitClient';
import type * as guaranteeAudit from './guaranteeAudit';
import * as responseOrigin from './responseOrigin';
import type * as sentMessages from '../http/sentMessages';
import * as targetMessage from './targetMessage';
import * as unusableResponses from './unusableResponses';

type Lifetime = domain.quarantine.crashedLifetimes.Lifetime;

const { lifetimeKey } = domain.quarantine.crashedLifetimes;

export interface Dependencies extends leaderCall.Dependencies {
  fleetState: Pick<
    fleetState.FleetState,
    'registry' | 'directory' | 'evacuations' | 'applyDraining'
  > &
    Partial<Pick<fleetState.FleetState, 'quarantine'>>;
  limits: Pick<rateLimitClient.RateLimitClient, 'answered'> &
    Partial<Pick<rateLimitClient.RateLimitClient, 'coldAnswered'>>;
  /** Grants for requests to cold targets; without them nothing is known of cold targets. */
  coldGrants?: Pick<coldGrants.ColdGrants, 'take'>;
  /** Gets what targets answer out of turn. */
  audit?: Pick<guaranteeAudit.GuaranteeAudit, 'check'>;
  observer: observer.Observer;
  now: () => number;
}

/** A message that was sent; `at` is its time on the steady clock, milliseconds. */
interface SentMessage {
  message: targetMessage.TargetMessage;
  inFlight: domain.backOff.backOffs.InFlightMessage;
  at: number;
}

/** Maximum number of draining lifetimes whose reports no leader has accepted yet. */
const MAX_UNREPORTED_LIFETIMES = 500;

/**
 * How long a request waits for the result of another one's canary request to a target, milliseconds: a few round trips.
 */
const CANARY_RESULT_WAIT_MS = 50;

export class TargetSignals implements targetMessage.AdmissionGate {
  private readonly backOffs = new domain.backOff.backOffs.BackOffs();

  /** Start times of draining targets, by id. */
  private readonly draining = new Map<string, number>();

  /**
   * Reports of draining targets; the leader forwards them to entries that haven't received such a response themselves.
   */
  private readonly drainReports = new leaderOutbox.LeaderOutbox<Lifetime>(
    (lifetimes) => this.reportDraining(lifetimes),
    MAX_UNREPORTED_LIFETIMES,
  );

  /** The leader that all draining targets were reported to; empty for none. */
  private informedLeader = '';

  /** Since when a leader has reported restarts of targets without an interruption; infinite without a leader. */
  private informedSince = Infinity;

  /** Messages in flight by lifetime, each on its own connection; a restarted target has none of its former lifetime. */
  private readonly activeMessages = new Map<string, { id: string; count: number }>();

  /** Number of entries that share the connections that a target accepts; 0 while unknown. */
  private entries = 0;

  /** Targets whose unreadable back-off was logged; each is logged once. */
  private readonly loggedUnreadable = new Set<string>();

  private readonly unusableResponses: unusableResponses.UnusableResponses;

  constructor(private readonly dependencies: Dependencies) {
    this.unusableResponses = new unusableResponses.UnusableResponses(dependencies);
  }

  get backingOff(): number {
    return this.backOffs.size;
  }

  admit(
    message: targetMessage.TargetMessage,
    isRelayed = false,
  ): targetMessage.DeliveryCallbacks | undefined {
    const { now } = this.dependencies;
    const { target, purpose } = message;
    const evacuated = this.evacuatedOf(message);
    if (evacuated !== undefined) this.logEvacuated(message, evacuated);
    const isRefused = evacuated !== undefined || !this.accepts(target, purpose);
    // The entry that a relayed message comes from has used its grant.
    if (isRefused || !(isRelayed || this.hasGrant(message))) {
      this.dependencies.observer.count(`messages.withheld.${purpose}`);
      return undefined;
    }
    const inFlight = this.backOffs.sent(target, now());
    const sent = { message, inFlight, at: now() };
    const lifetime = this.lifetimeOf(target);
    this.countActive(lifetime, 1);
    return {
      answered: (head) => this.answered(sent, head),
      foreign: (head, connection) => this.recordForeign(message, head, connection),
      unusable: (detail) => this.unusableResponses.report(message, detail),
      paced: (turns) => this.recordPaced(message, turns),
      ended: () => {
        inFlight.ended();
        this.countActive(lifetime, -1);
      },
    };
  }

  /** Targets of a service that are unavailable to requests of this entry. */
  unavailable(service: string): string[] {
    const { registry } = this.dependencies.fleetState;
    const ids = new Set([
      ...this.backOffs.targets,
      ...this.draining.keys(),
      ...[...this.activeMessages.values()].map(({ id }) => id),
    ]);
    const unavailable = [...ids].filter((id) => {
      const isOfService = registry.get(id)?.service === service;
      return isOfService && !this.accepts(id, 'request');
    });
    if (!this.hasEvacuations) return unavailable;
    const ready = registry.ready(service).map(({ id }) => id);
    return [...new Set([...unavailable, ...ready.filter((id) => this.isEvacuated(id))])];
  }

  /**
   * Targets that asked this entry to back off or drain, for other entries whose messages it sends. Evacuations are known
   * there, and connections in use change too fast to be of use.
   */
  get withheld(): domain.reachability.withheldTargets.WithheldTarget[] {
    const draining = [...this.draining.keys()].filter((target) => this.isDraining(target));
    const backingOff = this.backOffs.targets
      .map((target) => ({ target, forMs: this.backOffMs(target) }))
      .filter(({ target, forMs }) => forMs > 0 && !draining.includes(target));
    return [...draining.map((target) => ({ target })), ...backingOff];
  }

  /** For how long a target is withheld from requests, milliseconds; undefined while that isn't known. */
  withheldMs(target: string): number | undefined {
    return this.isDraining(target) || this.isEvacuated(target) ? undefined : this.waitMs(target);
  }

  private get hasEvacuations(): boolean {
    return this.dependencies.fleetState.evacuations.size > 0;
  }

  /** Remaining back-off of a target, milliseconds; 0 if it asked for none or it has expired. */
  backOffMs(target: string): number {
    return this.backOffs.waitMs(target, this.dependencies.now());
  }

  /** Time until an unavailable target may accept a request, milliseconds; infinite during an evacuation. */
  waitMs(target: string): number {
    if (this.isEvacuated(target)) return Infinity;
    return Math.max(CANARY_RESULT_WAIT_MS, this.backOffMs(target));
  }

  /** A lifetime is known to run; what another one under its id signalled no longer counts. */
  observe(lifetime: Lifetime): void {
    this.backOffs.observe(lifetime, this.informedSince, this.dependencies.now());
  }

  /** Start time of the lifetime that is known under an id; 0 if there is none. */
  bornAt(target: string): number {
    return this.lifetimeOf(target).bornAt;
  }

  /** Whether a lifetime is known to have ended. */
  isGone({ id, bornAt }: Lifetime): boolean {
    const record = this.dependencies.fleetState.registry.get(id);
    if (record === undefined) return false;
    // Without a start time it was sent to before the registry knew it.
    return record.state === 'gone' || (bornAt > 0 && record.bornAt > bornAt);
  }

  /** Discards the signals of a lifetime that ended. */
  forget({ id, bornAt }: Lifetime): void {
    this.backOffs.forget(id, this.dependencies.now());
    this.loggedUnreadable.delete(id);
    this.unusableResponses.forget(id);
    if (this.draining.get(id) === bornAt) this.draining.delete(id);
  }

  /** Tells of a target that sends without a pause; its callers take all of it, so it isn't given up. */
  private recordPaced(
    { requestId: request, target, purpose }: targetMessage.TargetMessage,
    turns: number,
  ): void {
    const { observer: observe } = this.dependencies;
    observe.count(`responses.paced.${purpose}`);
    observe.log('responsePaced', { request, target, purpose, turns });
  }

  /** Called when a leader confirms this entry, one of `entries`. A new leader may not know the draining targets yet. */
  leaderFound(leader: string, entries: number): void {
    if (entries > 0) this.entries = entries;
    this.informedSince = Math.min(this.informedSince, this.dependencies.now());
    if (leader === this.informedLeader) return;
    this.informedLeader = leader;
    this.draining.forEach((bornAt, id) => {
      void this.drainReports.send({ id, bornAt });
    });
  }

  leaderLost(): void {
    this.informedLeader = '';
    this.informedSince = Infinity;
  }

  /** Drops reports that no leader has accepted yet. */
  close(): void {
    this.drainReports.close();
  }

  /** The target that keeps a message from being sent, as its data centre is evacuated: the recipient or a helper. */
  private evacuatedOf({
    target,
    purpose,
    helpers = [],
  }: targetMessage.TargetMessage): string | undefined {
    if (!targetMessage.startsWork(purpose) || !this.hasEvacuations) return undefined;
    return [target, ...helpers].find((id) => this.isEvacuated(id));
  }

  /** During an evacuation, a target whose data centre isn't known here counts as evacuated. */
  private isEvacuated(target: string): boolean {
    if (!this.hasEvacuations) return false;
    const { registry, evacuations } = this.dependencies.fleetState;
    const dataCentre = registry.get(target)?.dataCentre;
    return dataCentre === undefined || evacuations.isEvacuated(dataCentre);
  }

  private logEvacuated(
    { target, purpose, requestId: request }: targetMessage.TargetMessage,
    evacuated: string,
  ): void {
    const { observer: observe, fleetState: state } = this.dependencies;
    const dataCentre = state.registry.get(evacuated)?.dataCentre;
    observe.count(`messages.evacuated.${purpose}`);
    observe.log('messageEvacuated', { request, target, purpose, evacuated, dataCentre });
  }

  private recordForeign(
    { target, purpose, requestId: request }: targetMessage.TargetMessage,
    head: targetMessage.ResponseHead,
    connection: sentMessages.Connection | undefined,
  ): void {
    const { observer: observe, audit } = this.dependencies;
    const { requestId: answered, isNotRun } = head.facts;
    observe.count(`responses.foreign.${purpose}`);
    observe.log('foreignResponse', {
      ...{ request, target, purpose, status: head.status, answered, isNotRun },
      ...{ connection: connection?.port, messages: connection?.messages },
    });
    audit?.check(target, head);
  }

  private accepts(target: string, purpose: targetMessage.MessagePurpose): boolean {
    const now = this.dependencies.now();
    // A draining target still gets checks, and upkeep of the requests that run there and of their memory.
    const isNew = targetMessage.startsWork(purpose);
    if (isNew && (this.isDraining(target) || !this.hasFreeConnection(target))) return false;
    if (purpose === 'upkeep') return this.backOffs.mayReceiveUpkeep(target, now);
    return this.backOffs.mayReceiveRequest(target, now);
  }

  /** Whether a request has the grants that it needs for cold targets; other messages get theirs elsewhere. */
  private hasGrant({ target, helpers = [], purpose }: targetMessage.TargetMessage): boolean {
    const { coldGrants: grants } = this.dependencies;
    if (purpose !== 'request' || grants === undefined) return true;
    return [target, ...helpers].every((each) => grants.take(each));
  }

  private answered(sentMessage: SentMessage, head: targetMessage.ResponseHead): void {
    if (!isFromTarget(sentMessage.message, head.facts)) return;
    const lifetime = this.lifetimeOf(sentMessage.message.target);
    this.dependencies.fleetState.quarantine?.responded(lifetime, sentMessage.at);
    this.recordBackOff(sentMessage, head);
    this.recordLimit(sentMessage, head);
    if (head.facts.isLeaving) this.recordDraining(sentMessage);
  }

  /** Of two lifetimes with the same id the later one responded: connections to the earlier one ended with it. */
  private recordDraining({ message: { target, requestId: request } }: SentMessage): void {
    if (this.isDraining(target)) return;
    const lifetime = this.lifetimeOf(target);
    const { bornAt } = lifetime;
    this.draining.set(target, bornAt);
    this.dependencies.observer.log('targetLeaving', { target, bornAt, request });
    this.dependencies.fleetState.applyDraining(lifetime);
    void this.drainReports.send(lifetime);
  }

  private recordBackOff(
    sentMessage: SentMessage,
    { status, facts }: targetMessage.ResponseHead,
  ): void {
    const { message, inFlight } = sentMessage;
    const { backOff } = facts;
    const { observer: observe, now } = this.dependencies;
    if (backOff.kind === 'none') {
      inFlight.answered();
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
    const keptMs = Math.round(this.backOffs.start(this.lifetimeOf(target), forMs, now()));
    observe.log('backOffAsked', { request, target, purpose, status, forMs, keptMs });
  }

  private recordLimit(
    { message, at }: SentMessage,
    { status, facts }: targetMessage.ResponseHead,
  ): void {
    const { requestId = '', target, address } = message;
    const { limit, isSigned, isEncoded, isNotRun, coldForMs = 0 } = facts;
    // Only a success of the target itself shows that the limit is over; failures may come from a proxy.
    const isSuccess = isSigned && !isEncoded && !isNotRun && status < callerResponse.FAILURE_STATUS;
    if (limit.kind === 'none' && !isSuccess && coldForMs === 0) return;
    const service = this.dependencies.fleetState.registry.get(target)?.service;
    if (service === undefined) return;
    const answeredRequest = { requestId, target, service, address, status, sentAt: at };
    this.dependencies.limits.coldAnswered?.(answeredRequest, coldForMs);
    if (limit.kind === 'none' && !isSuccess) return;
    this.dependencies.limits.answered(answeredRequest, limit);
  }

  private countActive(lifetime: Lifetime, change: 1 | -1): void {
    const key = lifetimeKey(lifetime);
    const count = (this.activeMessages.get(key)?.count ?? 0) + change;
    if (count > 0) this.activeMessages.set(key, { id: lifetime.id, count });
    else this.activeMessages.delete(key);
  }

  /**
   * Whether this entry may open another connection to a target: an equal share of what the target accepts, at least
   * one.
   */
  private hasFreeConnection(target: string): boolean {
    const { registry, directory } = this.dependencies.fleetState;
    const service = directory?.service(registry.get(target)?.service ?? '');
    if (service === undefined) return true;
    const share = Math.floor(service.maxConnections / Math.max(1, this.entries));
    const active = this.activeMessages.get(lifetimeKey(this.lifetimeOf(target)));
    return (active?.count ?? 0) < Math.max(1, share);
  }

  private isDraining(target: string): boolean {
    return this.draining.get(target) === this.lifetimeOf(target).bornAt;
  }

  private async reportDraining(lifetimes: readonly Lifetime[]): Promise<boolean> {
    const content: messages.DrainingReport = { lifetimes: [...lifetimes] };
    const accepted = await leaderCall.call<messages.AppliedAnswer>(
      this.dependencies,
      'leaving',
      content,
    );
    return accepted !== undefined;
  }

  private lifetimeOf(id: string): Lifetime {
    return { id, bornAt: this.dependencies.fleetState.registry.get(id)?.bornAt ?? 0 };
  }
}

/** Whether a response belongs to the message and comes from the addressed lifetime. */
function isFromTarget(
  { requestId = '' }: targetMessage.TargetMessage,
  facts: protocols.ResponseMetadata,
): boolean {
  if (facts.isWrongLifetime || !responseOrigin.isResponseTo(requestId, facts)) return false;
  return requestId === '' || facts.isSigned || facts.isNotRun;
}
