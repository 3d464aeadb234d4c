/**
 * Recognises that an entry's process was replaced by another one. An entry has no disk, and a process can't log that a
 * signal ended it; the leader of the keepers hears of it from the polls of the next process under the same name.
 */
import type * as messages from '../fleet/messages';

/** A process that ended without a planned stop, as far as the leader knows. */
export interface EndedProcess {
  process: string;
  /** Time since its last poll, in milliseconds. */
  lastPollMsAgo: number;
  /** Ids of the dispatches that were released while it was silent. */
  released: readonly string[];
}

/** What is known of the process that polls under a name. */
interface KnownProcess {
  id: string;
  /** The process before it, whose polls may arrive late. */
  previous: string | undefined;
  isStopping: boolean;
  polledAt: number;
  released: readonly string[];
}

export type ProcessChange =
  /** The same process, the first one under its name, or a late poll of the one before. */
  | { kind: 'none' }
  /** Another process follows one that had said that it stops. */
  | { kind: 'restarted' }
  | { kind: 'replaced'; ended: EndedProcess };

type Poll = Pick<messages.FollowRequest, 'name' | 'process' | 'isStopping'>;

/** Number of names that are remembered at most; the one that polled least recently is forgotten first. */
const MAX_NAMES = 4_096;

/** Stands for the process of a version that doesn't state it; its restarts aren't recognised. */
const UNSTATED = '';

export class EntryProcesses {
  private readonly byName = new Map<string, KnownProcess>();

  constructor(private readonly now: () => number) {}

  recordPoll({ name, process: id = UNSTATED, ...poll }: Poll): ProcessChange {
    const known = this.byName.get(name);
    if (known !== undefined && known.previous === id) return { kind: 'none' };
    const isSame = known === undefined || known.id === id;
    const previous = isSame ? known?.previous : known.id;
    // Polls of one process may arrive in another order than they were sent.
    const isStopping = poll.isStopping === true || (isSame && known?.isStopping === true);
    this.remember(name, { id, previous, isStopping, polledAt: this.now(), released: [] });
    if (isSame) return { kind: 'none' };
    if (known.isStopping) return { kind: 'restarted' };
    const { polledAt, released } = known;
    const lastPollMsAgo = Math.round(this.now() - polledAt);
    return { kind: 'replaced', ended: { process: known.id, lastPollMsAgo, released } };
  }

  /** Records the dispatches that were released because an entry stopped polling. */
  recordReleased(name: string, released: readonly string[]): void {
    const known = this.byName.get(name);
    if (known !== undefined) known.released = released;
  }

  clear(): void {
    this.byName.clear();
  }

  private remember(name: string, process: KnownProcess): void {
    this.byName.delete(name);
    this.byName.set(name, process);
    if (this.byName.size > MAX_NAMES) this.byName.delete([...this.byName.keys()][0]);
  }
}
