/**
 * Replicated state machine of the settings log: the settings tree, the registered daemons, planned
 * stops, and the audit trail of the actions of operators and of the system itself. Deterministic:
 * replicas that applied the same entries have the same state.
 */
import * as tree from '../settings/tree';
import * as stop from '../stop/stop';

/** A registered daemon; the majority rule of `membership/freshness` counts these. */
export interface RegisteredDaemon {
  id: string;
  address: string;
  dataCentre: string;
  /** Identity of its data folder, or empty without a disk. */
  replica: string;
}

export interface AuditEntry {
  index: number;
  at: number;
  /** An operator's name, or `system` for actions of the system itself. */
  author: string;
  address: string;
  action: string;
  subject: string;
  detail: string;
}

export type Command =
  | { kind: 'change'; change: tree.Change }
  | { kind: 'register'; daemon: RegisteredDaemon; at: number }
  | { kind: 'unregister'; id: string; at: number; reason: string }
  | { kind: 'announceStop'; stop: stop.Stop; address: string }
  | { kind: 'cancelStop'; id: string; author: string; address: string; at: number }
  /**
   * A model that this system ordered a target to load or unload; it unloads only models that it
   * ordered itself.
   */
  | { kind: 'ordered'; key: string; loaded: boolean; at: number }
  | { kind: 'note'; action: string; subject: string; detail: string; at: number };

/** A change for the view of a follower. */
export type Delta =
  | { kind: 'subtree'; index: number; name: string; subtree: tree.Subtree | undefined }
  | { kind: 'daemon'; index: number; id: string; daemon: RegisteredDaemon | undefined }
  | { kind: 'stop'; index: number; id: string; stop: stop.Stop | undefined };

export interface Applied {
  answer: tree.Answer | undefined;
  delta: Delta | undefined;
}

export interface Snapshot {
  index: number;
  tree: tree.Snapshot;
  daemons: RegisteredDaemon[];
  stops: stop.Stop[];
  /** Keys of the models that this system loaded on targets. */
  ordered: string[];
  audit: AuditEntry[];
}

/** Audit entries that the state keeps, enough for about a day of changes at the expected rate. */
export const AUDIT_LIMIT = 10_000;

/** Maximum length of the texts before and after a change in an audit entry, in characters. */
const AUDIT_TEXT_LIMIT = 2_000;

function truncated(text: string): string {
  return text.length > AUDIT_TEXT_LIMIT ? `${text.slice(0, AUDIT_TEXT_LIMIT)}…` : text;
}

export class State {
  index = 0;

  tree = new tree.Tree();

  readonly daemons = new Map<string, RegisteredDaemon>();

  readonly stops = new Map<string, stop.Stop>();

  /** Keys of the models that this system loaded on targets. */
  readonly ordered = new Set<string>();

  private audit: AuditEntry[] = [];

  apply(command: Command, index: number): Applied {
    this.index = index;
    if (command.kind === 'change') return this.change(command.change, index);
    if (command.kind === 'register') return this.register(command.daemon, command.at, index);
    if (command.kind === 'unregister') return this.unregister(command, index);
    if (command.kind === 'announceStop') return this.announceStop(command, index);
    if (command.kind === 'cancelStop') return this.cancelStop(command, index);
    if (command.kind === 'ordered') {
      if (command.loaded) this.ordered.add(command.key);
      else this.ordered.delete(command.key);
      const action = command.loaded ? 'load' : 'unload';
      this.recordSystemAction(action, command.key, '', command.at, index);
      return { answer: undefined, delta: undefined };
    }
    const { action, subject, detail, at } = command;
    this.recordSystemAction(action, subject, detail, at, index);
    return { answer: undefined, delta: undefined };
  }

  /** Newest first. */
  history(limit: number): AuditEntry[] {
    return this.audit.slice(-limit).reverse();
  }

  snapshot(): Snapshot {
    return {
      index: this.index,
      tree: this.tree.snapshot(),
      daemons: [...this.daemons.values()],
      stops: [...this.stops.values()],
      ordered: [...this.ordered],
      audit: [...this.audit],
    };
  }

  static restore(snapshot: Snapshot): State {
    const state = new State();
    state.index = snapshot.index;
    state.tree = tree.Tree.restore(snapshot.tree);
    snapshot.daemons.forEach((daemon) => state.daemons.set(daemon.id, daemon));
    snapshot.stops.forEach((announced) => state.stops.set(announced.id, announced));
    snapshot.ordered.forEach((key) => state.ordered.add(key));
    state.audit = [...snapshot.audit];
    return state;
  }

  private change(change: tree.Change, index: number): Applied {
    const before = this.tree.get(change.subtree)?.text ?? '';
    const { answer, changed } = this.tree.apply(change, index);
    if (!changed) return { answer, delta: undefined };
    const { author, address, at, subtree: subject } = change;
    const detail = JSON.stringify({
      change: change.id,
      before: truncated(before),
      after: truncated(change.text),
    });
    this.record({ index, at, author, address, action: 'change', subject, detail });
    const subtree = this.tree.get(subject);
    return { answer, delta: { kind: 'subtree', index, name: subject, subtree } };
  }

  private register(daemon: RegisteredDaemon, at: number, index: number): Applied {
    const isUnchanged = JSON.stringify(this.daemons.get(daemon.id)) === JSON.stringify(daemon);
    if (isUnchanged) return { answer: undefined, delta: undefined };
    this.daemons.set(daemon.id, daemon);
    const detail = `${daemon.address} in ${daemon.dataCentre}`;
    this.recordSystemAction('register', daemon.id, detail, at, index);
    return { answer: undefined, delta: { kind: 'daemon', index, id: daemon.id, daemon } };
  }

  private unregister(
    { id, at, reason }: { id: string; at: number; reason: string },
    index: number,
  ): Applied {
    if (!this.daemons.delete(id)) return { answer: undefined, delta: undefined };
    this.recordSystemAction('unregister', id, reason, at, index);
    return { answer: undefined, delta: { kind: 'daemon', index, id, daemon: undefined } };
  }

  private announceStop(
    { stop: announced, address }: { stop: stop.Stop; address: string },
    index: number,
  ): Applied {
    if (this.stops.has(announced.id)) return { answer: undefined, delta: undefined };
    this.stops.set(announced.id, announced);
    const { author, at, subject, name, id } = announced;
    const action = 'announceStop';
    this.record({ index, at, author, address, action, subject: `${subject} ${name}`, detail: id });
    return { answer: undefined, delta: { kind: 'stop', index, id, stop: announced } };
  }

  private cancelStop(
    command: { id: string; author: string; address: string; at: number },
    index: number,
  ): Applied {
    const { id, author, address, at } = command;
    if (!this.stops.delete(id)) return { answer: undefined, delta: undefined };
    this.record({ index, at, author, address, action: 'cancelStop', subject: id, detail: '' });
    return { answer: undefined, delta: { kind: 'stop', index, id, stop: undefined } };
  }

  private recordSystemAction(
    action: string,
    subject: string,
    detail: string,
    at: number,
    index: number,
  ): void {
    this.record({ index, at, author: 'system', address: '', action, subject, detail });
  }

  private record(entry: AuditEntry): void {
    this.audit.push(entry);
    if (this.audit.length > AUDIT_LIMIT * 1.1) this.audit = this.audit.slice(-AUDIT_LIMIT);
  }
}
