/**
 * The leader's decisions about evacuations: whether all voters know them, what a follower lacks, and where the newest
 * state is in force. The state itself is replicated by the log.
 */
import type * as domain from '@celerydrift/domain';
import type * as messages from '../fleet/messages';

type EvacuationState = domain.evacuation.evacuations.EvacuationState;
type Member = domain.replication.messages.Member;

/** A follower as far as evacuations are concerned. */
export interface InformedFollower {
  name: string;
  role: 'entry' | 'keeper';
  replica: string | undefined;
  /** Revision in force there; undefined for a daemon of a version that doesn't know evacuations. */
  evacuationRevision: number | undefined;
}

export interface Options {
  ownReplica: () => string;
  /** The committed state. */
  state: () => EvacuationState;
  /** Called when the replicas that are known to know evacuations change. */
  onInformed: () => void;
}

export class EvacuationCoordinator {
  /**
   * Ids of the replicas that announced that they know evacuations. A voter that is down remains one of them:
   * evacuations are needed most while VMs are down.
   */
  private informed = new Set<string>();

  constructor(private readonly options: Options) {}

  recordPoll({ replica, evacuationRevision }: Omit<InformedFollower, 'name' | 'role'>): void {
    if (replica === undefined) return;
    const others = [...this.informed].filter((each) => each !== replica);
    // A replica may come back with the previous version.
    this.replaceInformed(evacuationRevision === undefined ? others : [...others, replica]);
  }

  /** Takes over what the leader knows, or what was stored, for the time when this keeper leads. */
  replaceInformed(replicas: readonly string[]): void {
    const previous = this.informed;
    this.informed = new Set(replicas);
    const isSame =
      previous.size === this.informed.size && replicas.every((each) => previous.has(each));
    if (!isSame) this.options.onInformed();
  }

  storedReplicas(): string[] {
    return [...this.informed];
  }

  knows(replica: string): boolean {
    return replica === this.options.ownReplica() || this.informed.has(replica);
  }

  informedReplicas(members: readonly Member[]): string[] {
    return members.map(({ id }) => id).filter((id) => this.knows(id));
  }

  /** Addresses of the voters, and of learners that become voters, that would drop evacuations from their snapshots. */
  uninformedMembers(members: readonly Member[]): string[] {
    return members.filter(({ id }) => !this.knows(id)).map(({ address }) => address);
  }

  /** Whether a replica may become a voter. */
  mayVote(replica: string): boolean {
    return this.options.state().revision === 0 || this.knows(replica);
  }

  /** The state, if a follower with the given revision lacks its last change. */
  missingAt(revision: number | undefined): EvacuationState | undefined {
    const state = this.options.state();
    return state.revision > (revision ?? 0) ? state : undefined;
  }

  listing(followers: readonly InformedFollower[]): messages.EvacuationListing {
    const { evacuations, revision } = this.options.state();
    const entries = followers.filter(({ role }) => role === 'entry');
    const behind = entries
      .filter(({ evacuationRevision }) => (evacuationRevision ?? -1) < revision)
      .map(({ name }) => name);
    const inForce = { entries: entries.length - behind.length, of: entries.length, behind };
    return { evacuations, revision, inForce };
  }
}
