/**
 * The ends of targets that this leader has pushed to its followers. It may have learned of others from its predecessor
 * before it led, and its followers needn't know those, although to it they are nothing new.
 */
import type * as domain from '@celerydrift/domain';

type Announcement = domain.registry.registry.Announcement;

function keyOf({ id, state }: Announcement): string {
  return `${state} ${id}`;
}

export class PublishedEnds {
  private readonly ends = new Set<string>();

  add(records: readonly Announcement[]): void {
    records.filter(({ state }) => state !== 'ready').forEach((each) => this.ends.add(keyOf(each)));
  }

  has(record: Announcement): boolean {
    return this.ends.has(keyOf(record));
  }

  /** Another keeper leads, or this one leads anew. */
  clear(): void {
    this.ends.clear();
  }
}
