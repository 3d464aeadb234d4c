/**
 * Lets the leader of each log restore its replica set to full size from spares: registered VMs with a data
 * folder that answer. Members change one step at a time, each committed before the next.
 */
import * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import type * as logHost from './logHost';

export interface Options {
  /** Number of members that the replica set should have. */
  size: number;
  /** A member without contact for this long is replaced. */
  deadAfterMs: number;
  observer: observer.Observer;
  now: () => number;
  /** Registered daemons with a data folder that answered recently. */
  spares: () => domain.replication.repair.Spare[];
  /** Records an automatic action in the audit trail. */
  recordAudit: (action: string, subject: string, detail: string) => void;
}

export class Repairer {
  constructor(private readonly options: Options) {}

  step(host: logHost.LogHost): void {
    const now = this.options.now();
    if (!host.isLeader || !host.replica.hasQuorumContact(now)) return;
    const { members } = host.replica;
    const health = members
      .filter(({ id }) => id !== host.replica.id)
      .map(({ id }) => ({
        id,
        silentFor: host.replica.silentFor(id, now),
        caughtUp: host.replica.isCaughtUp(id),
      }));
    const { size, deadAfterMs } = this.options;
    const spares = this.options.spares();
    const situation = { members, health, spares, size, deadAfterMs };
    const step = domain.replication.repair.nextStep(situation);
    if (step === undefined) return;
    const { reason, subject } = step;
    host.changeMembers(step.members, () => {
      this.options.observer.log('repairStep', { log: host.id, reason, subject });
      this.options.recordAudit(reason, subject, `log ${host.id}, ${step.members.length} members`);
    });
  }
}
