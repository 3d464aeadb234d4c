/**
 * How much time elections need on the VMs as they are. A replica measures how long its peers take to answer, disk syncs
 * and waits for a core included; where a quorum takes longer than the timing allows for, all timeouts grow in proportion,
 * so that votes arrive before their election is over and a leader isn't deposed by its own slow followers. A follower
 * doesn't measure and takes the leader's word.
 */

/** Round trips of a quorum that fit into the minimum election timeout. */
const ROUND_TRIPS_PER_TIMEOUT = 2;

/** Bound of the growth, so that the loss of a leader is noticed within seconds however slow the VMs were. */
const MAX_FACTOR = 8;

/** Share of an earlier, longer round trip that still counts after a shorter one. */
const DECAY = 0.9;

export class ElectionPace {
  /** Recent round trips to the peers in milliseconds. */
  private readonly roundTrips = new Map<string, number>();

  /** Quorum's round trip in milliseconds as the leader stated it. */
  private stated = 0;

  private tickedAt = -Infinity;

  /** End of the last time in which this replica itself stood still. */
  private resumedAt = -Infinity;

  /** Longest round trip that counts; a longer one, such as of a message that a cut has held, changes no timeout. */
  private readonly maxRoundTripMs: number;

  /** @param electionMin Minimum election timeout in milliseconds. */
  constructor(private readonly electionMin: number) {
    this.maxRoundTripMs = (MAX_FACTOR * electionMin) / ROUND_TRIPS_PER_TIMEOUT;
  }

  /** Called regularly; a long gap shows that this replica stood still. */
  ticked(now: number): void {
    if (now - this.tickedAt > this.maxRoundTripMs) this.resumedAt = now;
    this.tickedAt = now;
  }

  /** Records an answer, unless it may have waited for this replica, which then says nothing of its peer. */
  answered(id: string, sentAt: number, now: number): void {
    const mayHaveWaited = sentAt < this.resumedAt || now - this.tickedAt > this.maxRoundTripMs;
    if (!mayHaveWaited) this.observe(id, now - sentAt);
  }

  /** Records how long a peer took to answer. */
  observe(id: string, ms: number): void {
    const decayed = (this.roundTrips.get(id) ?? 0) * DECAY;
    this.roundTrips.set(id, Math.max(this.bounded(ms), decayed));
  }

  /** Records what the leader states; it replaces what this replica measured before. */
  follow(quorumRoundTripMs: number): void {
    this.stated = this.bounded(quorumRoundTripMs);
    this.roundTrips.clear();
  }

  /** What is no time at all, such as a value of a faulty peer, counts as quick. */
  private bounded(ms: number): number {
    return ms > 0 ? Math.min(ms, this.maxRoundTripMs) : 0;
  }

  /** From now on only this replica's own measurements count. */
  lead(): void {
    this.stated = 0;
  }

  /** Time in which a quorum of these voters answers, itself included; peers without a measurement count as quick. */
  quorumRoundTripMs(self: string, voters: readonly string[]): number {
    const times = voters.map((id) => (id === self ? 0 : (this.roundTrips.get(id) ?? 0)));
    times.sort((a, b) => a - b);
    return Math.max(this.stated, times[Math.floor(times.length / 2)] ?? 0);
  }

  private get slowest(): number {
    return Math.max(this.stated, ...this.roundTrips.values());
  }

  /** Factor by which timeouts grow; 1 unless a quorum is slow. */
  factor(self: string, voters: () => readonly string[]): number {
    // Mostly no peer is slow, and a replica asks with each message.
    if (this.slowest * ROUND_TRIPS_PER_TIMEOUT <= this.electionMin) return 1;
    const needed = this.quorumRoundTripMs(self, voters()) * ROUND_TRIPS_PER_TIMEOUT;
    return Math.min(MAX_FACTOR, Math.max(1, needed / this.electionMin));
  }
}
