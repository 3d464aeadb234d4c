/**
 * The leader's list of its followers, and the pushing of updates to them. A follower acknowledges a push once it is
 * in force there, so the reply to a target or an operator can wait for all reachable followers.
 */
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import * as messages from '../fleet/messages';
import type * as peerClient from '../rpc/peerClient';

export interface Follower {
  name: string;
  role: 'entry' | 'keeper';
  address: string;
  dataCentre: string;
  replica: string | undefined;
  /** The registry version that it last reported. */
  mark: messages.RegistryVersion;
  /**
   * The revision of the evacuations that it last reported or acknowledged; undefined for a version that doesn't know
   * evacuations.
   */
  evacuationRevision: number | undefined;
  /** Whether it is an entry that relays messages of others now. */
  isRelay: boolean;
  /** Scopes of targets that it doesn't reach. */
  lostScopes: readonly domain.reachability.targetPaths.Scope[];
  polledAt: number;
}

/** A follower that wants to know relays. */
export type RelayRequest = Pick<messages.FollowRequest, 'name' | 'dataCentre' | 'lostScopes'>;

/** A follower is reachable if it polled within this time, in milliseconds; more than two poll intervals. */
const RECENT_POLL_MS = 1_300;

/** A follower that didn't poll for this long is removed, in milliseconds: it ended, or follows another leader. */
const FOLLOWER_TIMEOUT_MS = 4_000;

/** Maximum wait for a follower's acknowledgement, in milliseconds; a fifth of the shortest drain time. */
const MAX_ACK_WAIT_MS = 400;

/**
 * Time after which an unanswered push closes its connection, in milliseconds. With a shorter one, a busy link or
 * follower would close the connections of a whole fleet, and reopening them keeps it busy; the follower polls over
 * its own connection meanwhile.
 */
const PUSH_TIMEOUT_MS = 1_500;

/** Number of relays of its own data centre that a follower is told of, and of others. */
const RELAYS_PER_GROUP = 3;

/** Number of relays that a follower is told of at most, where few of them reach what it has lost. */
const MAX_RELAYS = 12;

/** A push to one follower that isn't acknowledged yet, and what is queued behind it. */
interface InFlightPush {
  hasQueued: boolean;
  /** The newest catalogue that is queued. */
  edition: domain.catalogue.newestCatalogue.PackedCatalogue | undefined;
  /** Resolves when everything queued now has arrived or was given up. */
  next: Promise<void>;
}

/** What a follower at a version lacks now; undefined if only a snapshot would do, which isn't pushed. */
export type UpdateSince = (
  mark: messages.RegistryVersion,
) => Omit<messages.FleetUpdate, 'edition'> | undefined;

/** The evacuations that a follower at a revision lacks. */
export type MissingEvacuations = (
  revision: number | undefined,
) => domain.evacuation.evacuations.EvacuationState | undefined;

export class Followers {
  private readonly byName = new Map<string, Follower>();

  /** Unacknowledged pushes, by address. */
  private readonly inFlight = new Map<string, InFlightPush>();

  constructor(
    private readonly client: peerClient.PeerClient,
    private readonly now: () => number,
    private readonly updateSince: UpdateSince,
    private readonly missingEvacuations: MissingEvacuations,
  ) {}

  recordPoll(request: messages.FollowRequest): void {
    const { name, role, address, dataCentre, replica, mark, evacuationRevision } = request;
    const { isRelay = false, lostScopes = [] } = request;
    const polledAt = this.now();
    const version = { mark, evacuationRevision };
    const state = { replica, isRelay, lostScopes, polledAt, ...version };
    this.byName.set(name, { name, role, address, dataCentre, ...state });
  }

  has(name: string): boolean {
    return this.byName.has(name);
  }

  all(): Follower[] {
    return [...this.byName.values()];
  }

  entries(): number {
    return this.all().filter(({ role }) => role === 'entry').length;
  }

  /** Position of an entry among all entries, in the order of their names. */
  rankOf(name: string): number {
    return this.all().filter((each) => each.role === 'entry' && each.name < name).length;
  }

  /**
   * Entries that relay messages for a follower: some of its data centre and some of others, as a whole data centre may
   * lose its paths at once. Those that reach what it has lost come first, and each lost scope gets some that reach it.
   * Neighbours by name get different ones, so that the load spreads.
   */
  relaysFor({ name, dataCentre, lostScopes = [] }: RelayRequest): messages.Relay[] {
    const start = this.rankOf(name) * RELAYS_PER_GROUP;
    const byReach = (candidates: readonly Follower[]): Follower[] =>
      rotated(candidates, start).sort((a, b) => {
        return unreachedBy(a, lostScopes).length - unreachedBy(b, lostScopes).length;
      });
    const candidates = this.relayCandidates(name);
    const local = byReach(candidates.filter((each) => each.dataCentre === dataCentre));
    const remote = byReach(candidates.filter((each) => each.dataCentre !== dataCentre));
    const both = [...local.slice(0, RELAYS_PER_GROUP), ...remote.slice(0, RELAYS_PER_GROUP)];
    const ordered = [...new Set([...both, ...local, ...remote])];
    const chosen = ordered.slice(0, 2 * RELAYS_PER_GROUP);
    lostScopes.forEach((scope) => addThoseThatReach(scope, chosen, ordered));
    return chosen.map((each) => ({ address: each.address, dataCentre: each.dataCentre }));
  }

  /** The other entries that relay messages now, by name. */
  private relayCandidates(name: string): Follower[] {
    return this.all()
      .filter((each) => each.isRelay && each.name !== name)
      .filter(({ polledAt }) => this.now() - polledAt < RECENT_POLL_MS)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  get size(): number {
    return this.byName.size;
  }

  /** Removes the followers that stopped polling and returns them. */
  removeSilent(): Follower[] {
    const silent = this.all().filter(({ polledAt }) => this.now() - polledAt > FOLLOWER_TIMEOUT_MS);
    silent.forEach(({ name }) => this.byName.delete(name));
    return silent;
  }

  clear(): void {
    this.byName.clear();
  }

  /**
   * Pushes to each reachable follower what it lacks, or `update` if that isn't known, and the evacuations that it
   * lacks; resolves when they have it or after a time limit.
   */
  async push(update: messages.FleetUpdate): Promise<void> {
    const reachable = this.all().filter(({ polledAt }) => this.now() - polledAt < RECENT_POLL_MS);
    await Promise.all(reachable.map((follower) => this.pushTo(follower, update)));
  }

  /**
   * At most one push at a time goes to each follower; the changes that collect until it is acknowledged go together.
   * A leader that can't keep up thus sends fewer and larger pushes and doesn't fall further behind with each.
   */
  private async pushTo(follower: Follower, update: messages.FleetUpdate): Promise<void> {
    const push = this.inFlight.get(follower.address);
    if (push === undefined) {
      const missing = this.updateSince(follower.mark);
      const sent = this.send(
        follower,
        missing === undefined ? update : updateOf(update.edition, missing),
      );
      await Promise.race([sent, clock.sleep(MAX_ACK_WAIT_MS)]);
      return;
    }
    push.hasQueued = true;
    push.edition = update.edition ?? push.edition;
    await Promise.race([push.next, clock.sleep(MAX_ACK_WAIT_MS)]);
  }

  private async send(follower: Follower, update: messages.FleetUpdate): Promise<void> {
    const { address } = follower;
    let finish = (): void => undefined;
    const next = new Promise<void>((resolve) => {
      finish = resolve;
    });
    const push: InFlightPush = { hasQueued: false, edition: undefined, next };
    this.inFlight.set(address, push);
    try {
      await this.deliver(follower, update);
    } finally {
      this.inFlight.delete(address);
      this.sendQueued(follower, update, push, finish);
    }
  }

  private async deliver(follower: Follower, update: messages.FleetUpdate): Promise<void> {
    const { address } = follower;
    const evacuations = this.missingEvacuations(follower.evacuationRevision);
    const sent = evacuations === undefined ? update : { ...update, evacuations };
    const answer = await this.client.call<Partial<messages.UpdateAck>>(address, 'learn', sent, {
      timeoutMs: PUSH_TIMEOUT_MS,
    });
    if (answer.err) return;
    follower.mark = answer.val.mark ?? update.mark;
    const knowsEvacuations = follower.evacuationRevision !== undefined;
    if (knowsEvacuations)
      follower.evacuationRevision = evacuations?.revision ?? follower.evacuationRevision;
  }

  /** Sends what was queued behind a push, if anything; `finish` is called once that has arrived or was given up. */
  private sendQueued(
    follower: Follower,
    update: messages.FleetUpdate,
    push: InFlightPush,
    finish: () => void,
  ): void {
    if (!push.hasQueued) {
      finish();
      return;
    }
    // A follower that waits for its registry snapshot must still learn of draining targets.
    const missing = this.updateSince(follower.mark) ?? this.updateSince(update.mark);
    void this.send(follower, updateOf(push.edition, missing)).finally(finish);
  }

  /** Keepers with a replica that polled recently, as spares for the replica set. */
  spares(): domain.replication.repair.Spare[] {
    return this.all().flatMap(({ replica, address, dataCentre, polledAt }) => {
      const silentFor = this.now() - polledAt;
      const fresh = replica !== undefined && silentFor < RECENT_POLL_MS;
      return fresh ? [{ id: replica, address, dataCentre, silentFor }] : [];
    });
  }
}

/** Makes a push of a catalogue and known changes; a catalogue alone builds on no registry version. */
function updateOf(
  edition: domain.catalogue.newestCatalogue.PackedCatalogue | undefined,
  missing: Omit<messages.FleetUpdate, 'edition'> | undefined,
): messages.FleetUpdate {
  const empty = {
    mark: messages.NO_VERSION,
    since: messages.NO_VERSION,
    records: [],
    suspects: [],
    limits: [],
  };
  return { edition, ...(missing ?? empty) };
}

function rotated<T>(items: readonly T[], by: number): T[] {
  const start = by % Math.max(1, items.length);
  return [...items.slice(start), ...items.slice(0, start)];
}

/** Adds relays that reach a scope to those chosen, until enough of them do or there are too many. */
function addThoseThatReach(
  scope: domain.reachability.targetPaths.Scope,
  chosen: Follower[],
  candidates: readonly Follower[],
): void {
  const reaches = (each: Follower): boolean => unreachedBy(each, [scope]).length === 0;
  const missing = RELAYS_PER_GROUP - chosen.filter(reaches).length;
  const room = MAX_RELAYS - chosen.length;
  const others = candidates.filter((each) => reaches(each) && !chosen.includes(each));
  chosen.push(...others.slice(0, Math.max(0, Math.min(missing, room))));
}

/** The scopes among these that a follower doesn't reach either, as it lost them or a scope that encloses them. */
function unreachedBy(
  { lostScopes }: Pick<Follower, 'lostScopes'>,
  scopes: readonly domain.reachability.targetPaths.Scope[],
): domain.reachability.targetPaths.Scope[] {
  return scopes.filter((scope) => {
    const enclosing = domain.reachability.targetPaths.enclosingScopes(scope);
    return lostScopes.some((lost) => enclosing.includes(lost));
  });
}
