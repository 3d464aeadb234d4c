/**
 * A daemon as its peers see it, after SWIM (Das, Gupta, Motivala, 2002): alive until probes fail,
 * then suspected, then dead. A daemon that learns that it is suspected refutes that with a new
 * incarnation.
 */

export type Status = 'alive' | 'leaving' | 'suspect' | 'dead';

export interface Daemon {
  id: string;
  address: string;
  dataCentre: string;
  /** Raised by the daemon itself when it starts and with each refutation. */
  incarnation: number;
  status: Status;
}

const STATUS_RANK: Record<Status, number> = { alive: 0, leaving: 1, suspect: 2, dead: 3 };

export function isNewer(candidate: Daemon, current: Daemon | undefined): boolean {
  if (current === undefined) return true;
  if (candidate.incarnation !== current.incarnation) {
    return candidate.incarnation > current.incarnation;
  }
  return STATUS_RANK[candidate.status] > STATUS_RANK[current.status];
}

/** Whether requests and state may be placed on it. */
export function isLive({ status }: Daemon): boolean {
  return status === 'alive' || status === 'suspect';
}
