/** Records that daemons exchange by gossip: daemons, targets and each daemon's workload. */
import type * as domain from '@celerydrift/domain';

/** One daemon's workload; the others predict load and compute their shares of capacity and limits from it. */
export interface Workload {
  daemon: string;
  incarnation: number;
  version: number;
  /** Outstanding prompt tokens by target; medium and long prompts only, load reports cover the rest. */
  outstanding: Record<string, domain.routing.estimate.Outstanding>;
  demand: domain.routing.band.Demand;
  /** Demand in tokens per second, by rate-limited organisation. */
  organisations: Record<string, number>;
}

export type GossipRecord =
  | { kind: 'daemon'; daemon: domain.membership.daemon.Daemon }
  | { kind: 'target'; target: domain.target.target.Target }
  | { kind: 'work'; work: Workload };

/** Key under which a newer record replaces an older one. */
export function keyOf(record: GossipRecord): string {
  if (record.kind === 'daemon') return `daemon/${record.daemon.id}`;
  if (record.kind === 'target') return `target/${record.target.name}`;
  return `work/${record.work.daemon}`;
}
