/**
 * Calls of targets and operators that only the leader can settle, either here or by forwarding them to it. A call
 * from another keeper is settled here or refused; otherwise two keepers that take each other for the leader would
 * forward it back and forth.
 */
import type * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as leaderLink from '../fleet/leaderLink';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';
import type * as logHost from '../replicas/logHost';
import type * as peerClient from '../rpc/peerClient';
import type * as catalogueMachine from './catalogueMachine';
import type * as leadership from './leadership';
import * as orderSequence from './orderSequence';

type Announcement = domain.registry.registry.Announcement;
type EvacuationCommand = domain.evacuation.evacuations.EvacuationCommand;
type PackedCatalogue = domain.catalogue.newestCatalogue.PackedCatalogue;

export interface Dependencies {
  host: logHost.LogHost;
  leadership: leadership.Leadership;
  machine: catalogueMachine.CatalogueMachine;
  link: leaderLink.LeaderLink;
  client: peerClient.PeerClient;
  observer: observer.Observer;
}

/** Maximum wait for the leader's answer to a forwarded call, in milliseconds. */
const FORWARD_TIMEOUT_MS = 900;

/** A catalogue takes longer, in milliseconds: it waits for a sync on a slow disk and a push to the entries. */
const SUBMIT_TIMEOUT_MS = 3_000;

/**
 * An order to evacuate, in milliseconds. Operators send it again for 5 s while there is no answer, so a leader that
 * reaches no quorum is given up early enough to try another keeper.
 */
const ORDER_TIMEOUT_MS = 1_200;

/**
 * Maximum wait for the position of an order, or for the lifetime that departs, in milliseconds. Half of the time that
 * operators and targets wait for an answer, so that it is from before they send this call, or a later one, elsewhere.
 */
const POSITION_TIMEOUT_MS = 500;

/** Maximum wait for a quorum to sync an order, in milliseconds. */
const ORDER_COMMIT_TIMEOUT_MS = 800;

/**
 * Maximum wait for the followers after the commit, in milliseconds; with the sync, half of the 300 ms within which an
 * order is acknowledged. A follower that doesn't answer gets the evacuations with its next poll.
 */
const ORDER_PUSH_WAIT_MS = 150;

export class LeaderCalls {
  private readonly orders = new orderSequence.OrderSequence();

  constructor(private readonly dependencies: Dependencies) {}

  /** Forwards targets' announcements; resolves with false if no leader takes them. */
  announce(records: Announcement[]): Promise<boolean> {
    const content = { records } satisfies messages.AnnouncementBatch;
    return this.atLeader(
      { method: 'announced', content, timeoutMs: FORWARD_TIMEOUT_MS },
      {
        here: () => this.announceHere(content),
        unavailable: () => false,
      },
    );
  }

  /** Resolves with true once the followers know the changes. */
  async announceHere({ records }: messages.AnnouncementBatch): Promise<boolean> {
    const { host, leadership } = this.dependencies;
    if (!host.isLeader) return false;
    const [isConfirmed] = await Promise.all([
      this.stillLeads(),
      ...records.map((record) => leadership.announce(record)),
    ]);
    return isConfirmed;
  }

  /** Forwards a target's departure, unless the target has given up the call meanwhile. */
  async depart(reported: ReportedDeparture, isGivenUp: () => boolean): Promise<boolean> {
    const content = await this.departureOf(reported);
    if (content === undefined || isGivenUp()) return false;
    return this.atLeader(
      { method: 'departed', content, timeoutMs: FORWARD_TIMEOUT_MS },
      {
        here: () => this.departHere(content),
        unavailable: () => false,
      },
    );
  }

  /**
   * A departure that names the lifetime that ended. One that a connection delivers late must not end a later lifetime of
   * the target, so the leader is asked for the present one while the target waits; undefined if it can't be.
   */
  private async departureOf({
    id,
    bornAt,
  }: ReportedDeparture): Promise<messages.Departure | undefined> {
    if (bornAt !== undefined) return { id, bornAt };
    const answer = await this.lifetime(id);
    if (answer === 'unknownMethod') return { id, bornAt };
    if (answer.kind === 'unavailable') return undefined;
    return { id, bornAt: answer.bornAt, isUnknown: answer.bornAt === undefined };
  }

  /** The present lifetime of a target at the leader; one of an earlier version doesn't know the method. */
  private lifetime(id: string): Promise<messages.LifetimeAnswer | 'unknownMethod'> {
    const content = { id } satisfies messages.LifetimeRequest;
    return this.atLeader<messages.LifetimeAnswer | 'unknownMethod'>(
      { method: 'lifetime', content, timeoutMs: POSITION_TIMEOUT_MS },
      {
        here: () => this.lifetimeHere(content),
        unavailable,
        unknownMethod: () => 'unknownMethod',
      },
    );
  }

  async lifetimeHere({ id }: messages.LifetimeRequest): Promise<messages.LifetimeAnswer> {
    const { host, leadership } = this.dependencies;
    if (!host.isLeader || !(await this.stillLeads())) return unavailable('not the leader');
    return { kind: 'lifetime', bornAt: leadership.lifetimeOf(id) };
  }

  async departHere(departed: messages.Departure): Promise<boolean> {
    const { host, leadership } = this.dependencies;
    if (!host.isLeader) return false;
    // Announced since: the target sends its departure again if that was before.
    if (departed.isUnknown === true && leadership.lifetimeOf(departed.id) !== undefined)
      return false;
    const [isConfirmed] = await Promise.all([this.stillLeads(), leadership.depart(departed)]);
    return isConfirmed;
  }

  /**
   * Whether a quorum confirms that this keeper leads. One whose disk stalls takes itself for the leader while others
   * follow its successor, and no follower would learn what it acknowledged.
   */
  private async stillLeads(): Promise<boolean> {
    const { host } = this.dependencies;
    return host.hasQuorumContact() || host.confirmLeadership(true);
  }

  submit(edition: PackedCatalogue): Promise<messages.SubmitAnswer> {
    const content = { edition } satisfies messages.SubmitRequest;
    return this.atLeader<messages.SubmitAnswer>(
      { method: 'submit', content, timeoutMs: SUBMIT_TIMEOUT_MS },
      { here: () => this.submitHere(edition), unavailable },
    );
  }

  async submitHere(edition: PackedCatalogue): Promise<messages.SubmitAnswer> {
    const applied = await this.dependencies.host.propose(edition);
    if (applied.err) return unavailable(applied.val.kind);
    const { version, changed } = applied.val.answer as domain.catalogue.newestCatalogue.ApplyResult;
    if (changed) await this.dependencies.leadership.publishCatalogue(edition);
    return { kind: 'accepted', version };
  }

  newest(): Promise<messages.NewestAnswer> {
    return this.atLeader<messages.NewestAnswer>(
      { method: 'newest', content: {}, timeoutMs: FORWARD_TIMEOUT_MS },
      { here: () => this.newestHere(), unavailable },
    );
  }

  async newestHere(): Promise<messages.NewestAnswer> {
    const confirmed = await this.dependencies.host.confirmLeadership(true);
    if (!confirmed) return unavailable('not confirmed by a quorum');
    return { kind: 'newest', edition: this.dependencies.machine.catalogue.newest };
  }

  /** Forwards an operator's order about an evacuation, unless the operator has given it up meanwhile. */
  async evacuate(
    command: EvacuationCommand,
    isGivenUp: () => boolean,
  ): Promise<messages.EvacuateAnswer> {
    const answer = await this.orderPosition();
    if (answer.kind === 'unavailable') return answer;
    if (isGivenUp()) return unavailable('given up by the operator');
    const content: messages.EvacuateRequest = { command, position: answer.position };
    return this.atLeader<messages.EvacuateAnswer>(
      { method: 'evacuate', content, timeoutMs: ORDER_TIMEOUT_MS },
      { here: () => this.evacuateHere(content), unavailable },
    );
  }

  /** The position of an order in the leader's sequence; a leader of an earlier version has none. */
  private orderPosition(): Promise<messages.OrderPositionAnswer> {
    return this.atLeader<messages.OrderPositionAnswer>(
      { method: 'orderPosition', content: {}, timeoutMs: POSITION_TIMEOUT_MS },
      {
        here: async () => this.orderPositionHere(),
        unavailable,
        unknownMethod: () => ({ kind: 'position', position: undefined }),
      },
    );
  }

  orderPositionHere(): messages.OrderPositionAnswer {
    const { host } = this.dependencies;
    if (!host.isLeader) return unavailable('not the leader');
    return { kind: 'position', position: this.orders.position(host.replica.term) };
  }

  /** Resolves once a quorum has the order and the followers that answer in time have applied it. */
  async evacuateHere({
    command,
    position,
  }: messages.EvacuateRequest): Promise<messages.EvacuateAnswer> {
    const { host, leadership } = this.dependencies;
    if (!host.isLeader) return unavailable('not the leader');
    const uninformed = leadership.evacuations.uninformedMembers(host.replica.members);
    if (uninformed.length > 0) {
      return unavailable(`voters that have not announced evacuations: ${uninformed.join(', ')}`);
    }
    if (!this.orders.take(command, position, host.replica.term)) {
      this.logOutdated(command, position);
      return unavailable('outdated by a later order');
    }
    // Also an order that already holds is proposed: only its commit proves that this keeper still leads.
    const applied = await Promise.race([
      host.propose(command),
      clock.sleep(ORDER_COMMIT_TIMEOUT_MS),
    ]);
    if (applied === undefined) return unavailable('not committed in time');
    if (applied.err) return unavailable(applied.val.kind);
    await Promise.race([leadership.publishEvacuations(), clock.sleep(ORDER_PUSH_WAIT_MS)]);
    const { revision } = applied.val.answer as catalogueMachine.EvacuationResult;
    return { kind: 'accepted', revision };
  }

  private logOutdated(
    command: EvacuationCommand,
    position: messages.OrderPosition | undefined,
  ): void {
    const { observer: observe, host } = this.dependencies;
    observe.count('orders.outdated');
    observe.log('orderOutdated', {
      order: command.kind,
      dataCentre: orderSequence.dataCentreOf(command),
      sentAt: position,
      now: this.orders.position(host.replica.term),
    });
  }

  evacuations(): Promise<messages.EvacuationsAnswer> {
    return this.atLeader<messages.EvacuationsAnswer>(
      { method: 'evacuations', content: {}, timeoutMs: FORWARD_TIMEOUT_MS },
      { here: () => this.evacuationsHere(), unavailable },
    );
  }

  async evacuationsHere(): Promise<messages.EvacuationsAnswer> {
    const { host, leadership } = this.dependencies;
    const confirmed = await host.confirmLeadership(true);
    if (!confirmed) return unavailable('not confirmed by a quorum');
    const listing = leadership.evacuations.listing(leadership.followers.all());
    return { kind: 'listed', listing };
  }

  /** Settles a call here if this keeper leads, or else at the leader. */
  private async atLeader<T>(
    { method, content, timeoutMs }: LeaderCall,
    settle: Settlement<T>,
  ): Promise<T> {
    const { host, link, client } = this.dependencies;
    if (host.isLeader) return settle.here();
    const leader = host.leaderAddress || link.leader;
    if (leader === '') return settle.unavailable('no leader is known');
    const answer = await client.call<T>(leader, method, content, { timeoutMs });
    if (answer.ok) return answer.val;
    // A leader of the previous version rejects a method that it doesn't know; it still leads.
    if (answer.val.kind !== 'rejected') link.reportFailure(leader);
    else if (settle.unknownMethod !== undefined) return settle.unknownMethod();
    return settle.unavailable(answer.val.detail);
  }
}

/** A call that only the leader can settle. */
interface LeaderCall {
  method: string;
  content: object;
  timeoutMs: number;
}

/** A departure as a target's call reports it. */
export type ReportedDeparture = Pick<messages.Departure, 'id' | 'bornAt'>;

/** How a call is settled at the leader itself, and without an answer of the leader. */
interface Settlement<T> {
  here: () => Promise<T>;
  unavailable: (detail: string) => T;
  /** For a method that a leader of an earlier version doesn't know; `unavailable` by default. */
  unknownMethod?: () => T;
}

function unavailable(detail: string): { kind: 'unavailable'; detail: string } {
  return { kind: 'unavailable', detail };
}
