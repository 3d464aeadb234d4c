/** What daemons tell each other by gossip: who is there, which targets, and how much work is where. */
import type * as domain from '@celerydrift/domain';

/** One daemon's work, for the others' predictions and shares. */
export interface Work {
  daemon: string;
  incarnation: number;
  version: number;
  /** Prompt tokens under way by target; only medium and long ones, the rest shows in load reports. */
  outstanding: Record<string, domain.routing.estimate.Outstanding>;
  demand: domain.routing.band.Demand;
  /** Demand in tokens per second by organisation with a limit. */
  organisations: Record<string, number>;
}

export type News =
  | { kind: 'daemon'; daemon: domain.membership.daemon.Daemon }
  | { kind: 'target'; target: domain.target.target.Target }
  | { kind: 'work'; work: Work };

export function keyOf(record: News): string {
  if (record.kind === 'daemon') return `daemon/${record.daemon.id}`;
  if (record.kind === 'target') return `target/${record.target.name}`;
  return `work/${record.work.daemon}`;
}
