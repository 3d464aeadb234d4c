/**
 * The failure detector of one daemon. Once a period it probes one peer in its own data centre, over
 * a new connection if the open one doesn't answer, and through other peers if that fails too. The
 * cost per daemon is constant, and a flapping VM changes only its own record.
 */
import * as random from '../shared/random';
import * as daemon from './daemon';

export interface Timing {
  /** Time between two probes, milliseconds. */
  period: number;
  /** Time from suspicion to death, in which a suspect can refute. */
  suspicion: number;
  /** How long the record of a dead daemon is kept, so that a late copy can't revive it. */
  forget: number;
}

export const DEFAULT_TIMING: Timing = { period: 1_000, suspicion: 3_000, forget: 600_000 };

interface KnownDaemon {
  record: daemon.Daemon;
  changedAt: number;
}

export class Detector {
  private readonly daemons = new Map<string, KnownDaemon>();

  private probeQueue: string[] = [];

  constructor(
    private self: daemon.Daemon,
    private readonly randomSource: random.Random,
    private readonly timing: Timing = DEFAULT_TIMING,
  ) {
    this.daemons.set(self.id, { record: self, changedAt: 0 });
  }

  get own(): daemon.Daemon {
    return this.self;
  }

  /** Merges a record received from a peer; returns the changes, to be gossiped on. */
  merge(record: daemon.Daemon, now: number): daemon.Daemon[] {
    if (record.id === this.self.id) return this.refute(record);
    const current = this.daemons.get(record.id);
    if (!daemon.isNewer(record, current?.record)) return [];
    this.daemons.set(record.id, { record, changedAt: now });
    return [record];
  }

  /** Announces that this daemon is leaving; it stays so in this incarnation. */
  leave(): daemon.Daemon {
    this.self = { ...this.self, incarnation: this.self.incarnation + 1, status: 'leaving' };
    this.daemons.set(this.self.id, { record: this.self, changedAt: 0 });
    return this.self;
  }

  /**
   * The peer to probe next. Each is probed once in a random order, so that none is left out for
   * long.
   */
  nextProbe(): daemon.Daemon | undefined {
    if (this.probeQueue.length === 0) this.probeQueue = this.shuffledPeers();
    while (this.probeQueue.length > 0) {
      const record = this.daemons.get(this.probeQueue.pop() ?? '')?.record;
      if (record !== undefined && record.status !== 'dead') return record;
    }
    return undefined;
  }

  /** Other live peers in the data centre for indirect probes. */
  indirectProbers(subject: string, count: number): daemon.Daemon[] {
    return this.shuffledPeers()
      .map((id) => this.daemons.get(id)?.record)
      .filter((record) => record?.status === 'alive' && record.id !== subject)
      .slice(0, count) as daemon.Daemon[];
  }

  /** Marks a daemon as suspected after its probes failed on all paths. */
  suspect(id: string, now: number): daemon.Daemon[] {
    const current = this.daemons.get(id);
    if (current === undefined || !daemon.isLive(current.record)) return [];
    return this.merge({ ...current.record, status: 'suspect' }, now);
  }

  /** Declares suspects dead that didn't refute in time, and forgets old records. */
  expire(now: number): daemon.Daemon[] {
    const changes: daemon.Daemon[] = [];
    this.daemons.forEach(({ record, changedAt }, id) => {
      const age = now - changedAt;
      if (record.status === 'suspect' && age > this.timing.suspicion) {
        changes.push(...this.merge({ ...record, status: 'dead' }, now));
      }
      const isFinal = record.status === 'dead' || record.status === 'leaving';
      if (isFinal && id !== this.self.id && age > this.timing.forget) this.daemons.delete(id);
    });
    return changes;
  }

  list(): daemon.Daemon[] {
    return [...this.daemons.values()].map(({ record }) => record);
  }

  get(id: string): daemon.Daemon | undefined {
    return this.daemons.get(id)?.record;
  }

  /** Ids of the live daemons in a data centre, including this one unless it is leaving. */
  liveIn(dataCentre: string): string[] {
    return this.list()
      .filter((record) => record.dataCentre === dataCentre && daemon.isLive(record))
      .map(({ id }) => id)
      .sort();
  }

  private refute(record: daemon.Daemon): daemon.Daemon[] {
    const isCurrent = record.incarnation >= this.self.incarnation;
    if (!isCurrent || record.status === this.self.status) return [];
    this.self = { ...this.self, incarnation: record.incarnation + 1 };
    this.daemons.set(this.self.id, { record: this.self, changedAt: 0 });
    return [this.self];
  }

  private shuffledPeers(): string[] {
    const ids = this.list()
      .filter(({ id, dataCentre }) => id !== this.self.id && dataCentre === this.self.dataCentre)
      .map(({ id }) => id);
    for (let i = ids.length - 1; i > 0; i--) {
      const j = random.below(this.randomSource, i + 1);
      [ids[i], ids[j]] = [ids[j], ids[i]];
    }
    return ids;
  }
}
