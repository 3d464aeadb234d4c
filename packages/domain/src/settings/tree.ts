/**
 * The settings tree: subtrees with revisions, changed by compare-and-set. A change has an id and
 * the revision on which it is based. Of two changes based on the same revision exactly one is
 * accepted, and a resend with the same id gets the first answer again. All of this is decided when
 * the log entry is applied, so all replicas reach the same decisions.
 */
import * as document from './document';
import * as schema from './schema';

/** A request to replace the text of one subtree. An empty text removes the subtree. */
export interface Change {
  id: string;
  subtree: string;
  /** Revision of the subtree on which the change is based; 0 for a new subtree. */
  basedOn: number;
  text: string;
  author: string;
  address: string;
  /** Milliseconds since the epoch, by the leader's clock. */
  at: number;
}

export interface Accepted {
  kind: 'accepted';
  subtree: string;
  revision: number;
  index: number;
}

export interface Conflict {
  kind: 'conflict';
  subtree: string;
  /** Current revision, and its author. */
  revision: number;
  author: string;
  text: string;
}

export interface Invalid {
  kind: 'invalid';
  problems: schema.Problem[];
}

/** The id was used before with other content. */
export interface Reused {
  kind: 'reused';
  id: string;
}

export type Answer = Accepted | Conflict | Invalid | Reused;

export interface Subtree {
  name: string;
  revision: number;
  text: string;
  author: string;
  at: number;
  /** Log index of the change that created this revision. */
  index: number;
}

interface StoredAnswer {
  id: string;
  /** The change in canonical form, to tell a resend from another use of the id. */
  content: string;
  answer: Answer;
}

export interface Snapshot {
  subtrees: Subtree[];
  /** Last revisions of removed subtrees. */
  removed: { name: string; revision: number }[];
  /** Answers that are kept for resends. */
  remembered: StoredAnswer[];
}

/**
 * Answers that are kept for resends: two and a half days at 8,100 changes a day. An older resend is
 * harmless: its base revision is outdated, so it ends as a conflict and never applies twice.
 */
export const MAX_STORED_ANSWERS = 20_000;

const SUBTREE_NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;

function contentOf(change: Change): string {
  return JSON.stringify([change.subtree, change.basedOn, change.text, change.author]);
}

/** Replicated state machine of the tree. Only `apply` changes it, in log order. */
export class Tree {
  private readonly subtrees = new Map<string, Subtree>();

  /**
   * Last revisions of removed subtrees. Counting continues after a removal, so that an old base
   * revision can't match a new subtree.
   */
  private readonly removed = new Map<string, number>();

  private readonly answers = new Map<string, StoredAnswer>();

  /** Applies one change; `changed` tells whether the tree changed. */
  apply(change: Change, index: number): { answer: Answer; changed: boolean } {
    const stored = this.answers.get(change.id);
    if (stored !== undefined) {
      const isResend = stored.content === contentOf(change);
      return {
        answer: isResend ? stored.answer : { kind: 'reused', id: change.id },
        changed: false,
      };
    }
    const answer = this.decide(change, index);
    this.storeAnswer({ id: change.id, content: contentOf(change), answer });
    if (answer.kind === 'accepted') this.storeSubtree(change, answer);
    return { answer, changed: answer.kind === 'accepted' };
  }

  get(name: string): Subtree | undefined {
    return this.subtrees.get(name);
  }

  list(): Subtree[] {
    return [...this.subtrees.values()];
  }

  /** The answer to a resend of `change`, if its id is known. */
  answerFor(change: Change): Answer | undefined {
    const stored = this.answers.get(change.id);
    if (stored === undefined) return undefined;
    return stored.content === contentOf(change) ? stored.answer : { kind: 'reused', id: change.id };
  }

  snapshot(): Snapshot {
    const removed = [...this.removed].map(([name, revision]) => ({ name, revision }));
    return { subtrees: this.list(), removed, remembered: [...this.answers.values()] };
  }

  static restore(snapshot: Snapshot): Tree {
    const tree = new Tree();
    snapshot.subtrees.forEach((subtree) => tree.subtrees.set(subtree.name, subtree));
    snapshot.removed.forEach(({ name, revision }) => tree.removed.set(name, revision));
    snapshot.remembered.forEach((entry) => tree.answers.set(entry.id, entry));
    return tree;
  }

  private revisionOf(name: string): number {
    return this.subtrees.get(name)?.revision ?? this.removed.get(name) ?? 0;
  }

  private decide(change: Change, index: number): Answer {
    if (!SUBTREE_NAME.test(change.subtree)) {
      const mend = 'name a subtree with lower-case letters, digits and dashes';
      const problem = { section: '', key: 'subtree', value: change.subtree, mend };
      return { kind: 'invalid', problems: [problem] };
    }
    const revision = this.revisionOf(change.subtree);
    if (revision !== change.basedOn) return this.conflict(change.subtree, revision);
    const parsed = document.parse(change.text);
    if (parsed.err) return { kind: 'invalid', problems: parsed.val };
    return { kind: 'accepted', subtree: change.subtree, revision: revision + 1, index };
  }

  private conflict(subtree: string, revision: number): Conflict {
    const current = this.subtrees.get(subtree);
    const author = current?.author ?? '';
    return { kind: 'conflict', subtree, revision, author, text: current?.text ?? '' };
  }

  private storeSubtree(change: Change, { revision, index }: Accepted): void {
    const { subtree: name, text, author, at } = change;
    if (text.trim() === '') {
      this.subtrees.delete(name);
      this.removed.set(name, revision);
      return;
    }
    this.removed.delete(name);
    this.subtrees.set(name, { name, revision, text, author, at, index });
  }

  private storeAnswer(entry: StoredAnswer): void {
    this.answers.set(entry.id, entry);
    if (this.answers.size <= MAX_STORED_ANSWERS) return;
    const oldest = this.answers.keys().next().value;
    if (oldest !== undefined) this.answers.delete(oldest);
  }
}
