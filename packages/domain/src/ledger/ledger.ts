/**
 * At-most-once execution of calls that must not be repeated. A claim is committed in the replicated
 * log before the call is dispatched, and only the attempt that holds the claim dispatches it, once.
 * After any crash a resend finds the claim: it gets the stored answer, waits, or is told that the
 * outcome is unknown, but never runs the call again.
 */

/** The stored answer that a resend gets. */
export interface Answer {
  status: number;
  contentType: string;
  body: string;
}

export type Settlement = 'completed' | 'unknown';

/** Requests the right to run a call. */
export interface Claim {
  kind: 'claim';
  key: string;
  organisation: string;
  /** Digest of method, path and body; the same key with another digest is an error. */
  content: string;
  /** Id of one HTTP request at one daemon; a claim that this attempt resends is granted again. */
  attempt: string;
  /**
   * Deadline by the clock of the leader that accepted the claim, milliseconds. The attempt
   * dispatches nothing after it, so a claim that isn't settled by then has an unknown outcome.
   */
  deadline: number;
  at: number;
}

/**
 * A claim as sent to the leader, which converts the remaining time to a deadline by its own clock.
 */
export type TimedClaim = Omit<Claim, 'deadline'> & { timeLeftMs: number };

export interface Settle {
  kind: 'settle';
  key: string;
  attempt: string;
  settlement: Settlement;
  answer: Answer | undefined;
  at: number;
}

/** Gives up a claim because the call certainly didn't run. */
export interface Release {
  kind: 'release';
  key: string;
  attempt: string;
  at: number;
}

export type Command = Claim | Settle | Release;

export type CommandResult =
  | { kind: 'granted' }
  | { kind: 'running'; deadline: number }
  | { kind: 'settled'; settlement: Settlement; answer: Answer | undefined }
  | { kind: 'mismatch' }
  | { kind: 'expired' }
  | { kind: 'overLimit'; retryAfterMs: number }
  | { kind: 'released' }
  | { kind: 'ignored' };

interface Entry {
  key: string;
  organisation: string;
  content: string;
  attempt: string;
  deadline: number;
  at: number;
  settlement: Settlement | 'running';
  answer: Answer | undefined;
}

/** Limits of one ledger. */
export interface LedgerLimits {
  /** Time that an answer is kept for resends, milliseconds. */
  retention: number;
  /** Time after that in which the key alone is kept and refused, milliseconds. */
  tombstones: number;
  /** Claims that one organisation may have within the retention. */
  claimsPerOrganisation: number;
  /**
   * Maximum length of a stored body, in characters; of a longer answer only status and content type
   * are kept.
   */
  answerLength: number;
}

export const DEFAULT_LIMITS: LedgerLimits = {
  retention: 24 * 3600 * 1000,
  tombstones: 30 * 24 * 3600 * 1000,
  claimsPerOrganisation: 100_000,
  answerLength: 64 * 1024,
};

export interface Snapshot {
  entries: Entry[];
  /** Keys whose answers have expired. */
  tombstones: { key: string; at: number }[];
}

/**
 * Replicated state machine of the ledger. Only `apply` changes it, in log order, so all replicas
 * reach the same decisions.
 */
export class Ledger {
  private readonly entries = new Map<string, Entry>();

  private readonly tombstones = new Map<string, number>();

  private readonly claimCounts = new Map<string, number>();

  constructor(private readonly limits: LedgerLimits = DEFAULT_LIMITS) {}

  get size(): number {
    return this.entries.size;
  }

  apply(command: Command): CommandResult {
    this.expire(command.at);
    if (command.kind === 'claim') return this.claim(command);
    if (command.kind === 'settle') return this.settle(command);
    return this.release(command);
  }

  snapshot(): Snapshot {
    const tombstones = [...this.tombstones].map(([key, at]) => ({ key, at }));
    return { entries: [...this.entries.values()], tombstones };
  }

  static restore(snapshot: Snapshot, limits: LedgerLimits = DEFAULT_LIMITS): Ledger {
    const ledger = new Ledger(limits);
    snapshot.entries.forEach((entry) => ledger.add({ ...entry }));
    snapshot.tombstones.forEach(({ key, at }) => ledger.tombstones.set(key, at));
    return ledger;
  }

  private claim(claim: Claim): CommandResult {
    const entry = this.entries.get(claim.key);
    if (entry !== undefined) {
      if (entry.content !== claim.content) return { kind: 'mismatch' };
      // The grant was lost on its way to the attempt, which hasn't dispatched the call yet and
      // still may.
      const isSameAttempt = entry.attempt === claim.attempt && entry.settlement === 'running';
      return isSameAttempt ? { kind: 'granted' } : this.resultFor(entry, claim.at);
    }
    if (this.tombstones.has(claim.key)) return { kind: 'expired' };
    const claimCount = this.claimCounts.get(claim.organisation) ?? 0;
    if (claimCount >= this.limits.claimsPerOrganisation) {
      return { kind: 'overLimit', retryAfterMs: this.untilOldestExpires(claim) };
    }
    const { key, organisation, content, attempt, deadline, at } = claim;
    const running = { settlement: 'running', answer: undefined } as const;
    this.add({ key, organisation, content, attempt, deadline, at, ...running });
    return { kind: 'granted' };
  }

  private resultFor(entry: Entry, now: number): CommandResult {
    if (entry.settlement !== 'running') {
      return { kind: 'settled', settlement: entry.settlement, answer: entry.answer };
    }
    // The attempt dispatches nothing after the deadline. If it hasn't settled the claim by now, it
    // crashed or was cut off, and it can't be known whether the call ran.
    if (now > entry.deadline) return { kind: 'settled', settlement: 'unknown', answer: undefined };
    return { kind: 'running', deadline: entry.deadline };
  }

  private settle(settle: Settle): CommandResult {
    const entry = this.entries.get(settle.key);
    if (entry === undefined || entry.attempt !== settle.attempt) return { kind: 'ignored' };
    // An answer may replace an unknown outcome, but never the reverse.
    if (entry.settlement === 'completed') return this.resultFor(entry, settle.at);
    entry.settlement = settle.settlement;
    entry.answer = this.withinBodyLimit(settle.answer);
    return this.resultFor(entry, settle.at);
  }

  private withinBodyLimit(answer: Answer | undefined): Answer | undefined {
    if (answer === undefined || answer.body.length <= this.limits.answerLength) return answer;
    return { ...answer, body: '' };
  }

  private release({ key, attempt }: Release): CommandResult {
    const entry = this.entries.get(key);
    const isOwner = entry?.attempt === attempt && entry.settlement === 'running';
    if (!isOwner) return { kind: 'ignored' };
    this.remove(key);
    return { kind: 'released' };
  }

  private add(entry: Entry): void {
    this.entries.set(entry.key, entry);
    const claimCount = this.claimCounts.get(entry.organisation) ?? 0;
    this.claimCounts.set(entry.organisation, claimCount + 1);
  }

  private remove(key: string): void {
    const entry = this.entries.get(key);
    if (entry === undefined) return;
    this.entries.delete(key);
    const claimCount = (this.claimCounts.get(entry.organisation) ?? 1) - 1;
    if (claimCount > 0) this.claimCounts.set(entry.organisation, claimCount);
    else this.claimCounts.delete(entry.organisation);
  }

  /** Entries are in the order of their claims, so only the oldest need a check. */
  private expire(now: number): void {
    for (const [key, entry] of this.entries) {
      if (entry.at + this.limits.retention > now) break;
      this.remove(key);
      this.tombstones.set(key, entry.at);
    }
    for (const [key, at] of this.tombstones) {
      if (at + this.limits.retention + this.limits.tombstones > now) break;
      this.tombstones.delete(key);
    }
  }

  private untilOldestExpires({ organisation, at }: Claim): number {
    for (const entry of this.entries.values()) {
      if (entry.organisation === organisation) return entry.at + this.limits.retention - at;
    }
    return this.limits.retention;
  }
}
