/**
 * Reports that the keepers have no leader for longer than an election takes, and which voters this keeper hears. Without a
 * leader no document is read or accepted, and entries refuse keys once their leases end, so on-call must see at once
 * whether a quorum of the voters is left.
 */
import type * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';

export interface Dependencies {
  observer: Pick<observer.Observer, 'log'>;
  /** Steady clock, milliseconds. */
  now: () => number;
}

/** Time without a leader after which it is reported, milliseconds: an election and its repetition after a split vote. */
const REPORT_AFTER_MS = 1_500;

/** Interval of further reports while it lasts, milliseconds. */
const REPORT_INTERVAL_MS = 5_000;

/** A voter was heard if it sent something within this time, milliseconds: a few election attempts. */
const HEARD_WITHIN_MS = 2_500;

type Replica = Pick<
  domain.replication.replica.Replica,
  'state' | 'leader' | 'term' | 'voters' | 'votersHeardSince' | 'hasQuorumContact'
>;

export class QuorumWatch {
  private missingSince: number | undefined;

  private reportedAt = -Infinity;

  private isReported = false;

  constructor(private readonly dependencies: Dependencies) {}

  /** Milliseconds for which this keeper has known no leader with a quorum; 0 while it knows one. */
  get missingMs(): number {
    const { missingSince } = this;
    return missingSince === undefined ? 0 : this.dependencies.now() - missingSince;
  }

  /** Looks at the replica; a spare, which knows no voters, reports nothing. */
  check(replica: Replica): void {
    const now = this.dependencies.now();
    const leads = replica.state === 'leader' && replica.hasQuorumContact(now);
    const isFollowing = replica.state === 'follower' && replica.leader !== '';
    if (leads || isFollowing || replica.voters.length === 0) {
      this.regained();
      return;
    }
    this.missingSince ??= now;
    const isDue = now - this.reportedAt >= REPORT_INTERVAL_MS;
    if (this.missingMs >= REPORT_AFTER_MS && isDue) this.report(replica, now);
  }

  private report(replica: Replica, now: number): void {
    const { term, voters } = replica;
    const heard = replica.votersHeardSince(now - HEARD_WITHIN_MS).map(({ address }) => address);
    const silent = voters.map(({ address }) => address).filter((each) => !heard.includes(each));
    const needed = Math.floor(voters.length / 2) + 1;
    const sinceMs = Math.round(this.missingMs);
    this.dependencies.observer.log('quorumMissing', { sinceMs, term, needed, heard, silent });
    this.reportedAt = now;
    this.isReported = true;
  }

  private regained(): void {
    if (this.isReported)
      this.dependencies.observer.log('quorumRegained', { afterMs: Math.round(this.missingMs) });
    this.missingSince = undefined;
    this.isReported = false;
    this.reportedAt = -Infinity;
  }
}
