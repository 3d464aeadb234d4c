/**
 * When the members of a replica set were last in contact, as far as one replica knows. A leader measures the silence of
 * the others and states it in its requests, so that a new leader goes on counting where the last one stopped: a member
 * that is gone for good would otherwise look alive for as long as leaders follow each other quickly.
 */
import type * as messages from './messages';

export class MemberContacts {
  /** Times of the last contact by member id, in milliseconds on the clock of this replica. */
  private readonly times = new Map<string, number>();

  /** Records a message of a member. */
  heard(id: string, now: number): void {
    this.times.set(id, now);
  }

  /** Records what a leader states: all members but the silent ones are in contact with it. */
  stated(
    leader: string,
    members: readonly messages.Member[],
    silences: readonly messages.Silence[],
    now: number,
  ): void {
    const silentFor = new Map(silences.map(({ id, ms }) => [id, ms]));
    this.retain(members);
    members.forEach(({ id }) => this.times.set(id, now - (silentFor.get(id) ?? 0)));
    this.times.set(leader, now);
  }

  /** Forgets all but these members. */
  retain(members: readonly messages.Member[]): void {
    const ids = new Set(members.map(({ id }) => id));
    [...this.times.keys()].filter((id) => !ids.has(id)).forEach((id) => this.times.delete(id));
  }

  /** Time of the last contact with a member; undefined if nothing is known of it. */
  lastAt(id: string): number | undefined {
    return this.times.get(id);
  }
}
