/**
 * Tracks which targets this daemon may use and which daemon is the allocator of its cell, as membership,
 * targets and planned stops change.
 */
import * as domain from '@celerydrift/domain';
import type * as members from '../membership/members';
import type * as targetTable from '../targets/targetTable';
import type * as router from './router';
import type * as plannedStopTracker from './plannedStopTracker';

type Target = domain.target.target.Target;

export interface Options {
  self: domain.routing.cell.Member;
  hash: domain.shared.hashing.Hash;
  members: members.Members;
  targets: targetTable.TargetTable;
  router: router.Router;
  stops: plannedStopTracker.PlannedStopTracker;
}

export class CellTracker {
  private cell: domain.routing.cell.Cell;

  constructor(private readonly options: Options) {
    this.cell = { targets: [], allocator: options.self.id };
  }

  /** Targets of any kind that accept new work. */
  availableTargets(): Target[] {
    const { targets, stops } = this.options;
    return targets.list().filter((target) => stops.acceptsNewWork(target));
  }

  availableEngines(): Target[] {
    return this.availableTargets().filter(({ kind }) => kind === 'engine');
  }

  availableTarget(name: string): Target | undefined {
    const { targets, stops } = this.options;
    const target = targets.get(name);
    return target !== undefined && stops.acceptsNewWork(target) ? target : undefined;
  }

  /** Recomputes the cell after a change of daemons, targets or planned stops. */
  refresh(): void {
    const { hash, self, members: membership, router: localRouter } = this.options;
    const engines = this.availableEngines();
    const live = membership.detector.list().filter(domain.membership.daemon.isLive);
    const ids = live.map(({ id }) => id).sort();
    localRouter.setPosition(Math.max(0, ids.indexOf(self.id)), ids.length);
    const enginePlaces = engines.map(({ name, dataCentre }) => ({ id: name, dataCentre }));
    this.cell = domain.routing.cell.cellOf(hash, self, live, enginePlaces);
    const names = new Set(this.cell.targets);
    localRouter.setEngines(engines.filter(({ name }) => names.has(name)));
  }

  /** Peer address of the cell's allocator; empty if it is this daemon or isn't alive. */
  allocatorAddress(): string {
    const { self, members: membership } = this.options;
    const { allocator: id } = this.cell;
    if (id === self.id) return '';
    const daemon = membership.detector.get(id);
    return daemon?.status === 'alive' ? daemon.address : '';
  }
}
