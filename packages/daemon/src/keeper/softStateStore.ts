/**
 * Soft state on a keeper's disk, with a file each for targets, quarantined requests, rate limits and the replicas that
 * know evacuations. An outage of all VMs removes it everywhere else; where a file is outdated, the targets' next announcements and answers correct it.
 */
import type * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as fleetState from '../fleet/fleetState';
import type * as observer from '../observability/observer';
import type * as evacuationCoordinator from './evacuationCoordinator';
import * as evacuationStore from './evacuationStore';
import * as limitStore from './limitStore';
import * as softStateFile from './softStateFile';
import * as suspectStore from './suspectStore';
import * as targetStore from './targetStore';

export interface Dependencies {
  folder: string;
  fleetState: fleetState.FleetState;
  /** Undefined if operators can't evacuate data centres. */
  evacuations: (() => evacuationCoordinator.EvacuationCoordinator) | undefined;
  observer: observer.Observer;
}

/**
 * Maximum wait for the disk before a departure or drain is acknowledged, in milliseconds; an eighth of the shortest
 * drain time. A disk that stalls for longer isn't waited for.
 */
const MAX_STORE_WAIT_MS = 250;

export class SoftStateStore {
  private readonly targets: softStateFile.SoftStateFile;

  private readonly quarantine: softStateFile.SoftStateFile;

  private readonly limits: softStateFile.SoftStateFile;

  private readonly evacuationReplicas: softStateFile.SoftStateFile;

  /** Fingerprints of the quarantined requests that are stored or about to be. */
  private storedQuarantine = '';

  /** Number of ends of targets that became known. */
  private ends = 0;

  /** Whether a write of the targets has taken longer than anybody waits. */
  private isStalled = false;

  constructor(private readonly dependencies: Dependencies) {
    const { fleetState: fleet } = dependencies;
    this.targets = this.file(targetStore.FILE, () => fleet.registry.durableRecords());
    this.quarantine = this.file(suspectStore.FILE, () => this.quarantineReports());
    this.limits = this.file(limitStore.FILE, () => fleet.limits.all());
    this.evacuationReplicas = this.file(evacuationStore.FILE, () =>
      dependencies.evacuations?.().storedReplicas(),
    );
  }

  /** Loads the files; an unreadable one is logged and skipped. */
  async load(): Promise<void> {
    await this.loadTargets();
    await this.loadQuarantine();
    await this.loadLimits();
    await this.loadEvacuationReplicas();
  }

  /**
   * Schedules a write of the targets, soon if one has announced its end: a keeper that has lost power would use it
   * again.
   */
  targetChanged({ state, isPresumed, isRemembered }: domain.registry.registry.Announcement): void {
    const isInferred = isPresumed === true || isRemembered === true;
    if (state === 'ready' || isInferred) {
      this.targets.markChanged();
      return;
    }
    this.ends += 1;
    this.targets.markUrgent();
  }

  /**
   * Resolves once all ends of targets known here are on the disk, or after a time limit; at once while the disk is known
   * to stall.
   */
  async endsStored(): Promise<void> {
    if (this.isStalled) return;
    const stored = this.targets.stored().then(() => {
      this.isStalled = false;
      return true;
    });
    const isStored = await Promise.race([stored, clock.sleep(MAX_STORE_WAIT_MS)]);
    if (isStored !== true) this.isStalled = true;
  }

  /** Runs an update and waits for the disk if it ended targets. */
  async storing(update: () => void): Promise<void> {
    const before = this.ends;
    update();
    if (this.ends > before) await this.endsStored();
  }

  /** Schedules a write only if the quarantine changed: most suspects never get there and cost the disk nothing. */
  suspectsChanged(): void {
    const fingerprints = this.quarantineReports()
      .map(({ content }) => content)
      .join(' ');
    if (fingerprints === this.storedQuarantine) return;
    this.storedQuarantine = fingerprints;
    this.quarantine.markChanged();
  }

  limitsChanged(): void {
    this.limits.markChanged();
  }

  evacuationReplicasChanged(): void {
    if (this.dependencies.evacuations !== undefined) this.evacuationReplicas.markChanged();
  }

  async close(): Promise<void> {
    const files = [this.targets, this.quarantine, this.limits, this.evacuationReplicas];
    await Promise.all(files.map((each) => each.close()));
  }

  private file(name: string, content: () => unknown): softStateFile.SoftStateFile {
    const { folder, observer: observe } = this.dependencies;
    return new softStateFile.SoftStateFile({ folder, name, observer: observe, content });
  }

  private quarantineReports(): ReturnType<typeof suspectStore.contentOf> {
    return suspectStore.contentOf(this.dependencies.fleetState.quarantine, clock.steady());
  }

  private async loadTargets(): Promise<void> {
    const { folder, fleetState: fleet, observer: observe } = this.dependencies;
    const loaded = await targetStore.read(folder);
    if (loaded.err) {
      this.logUnreadable(targetStore.FILE, loaded.val);
      return;
    }
    const records = fleet.loadRecords(loaded.val);
    const ready = records.filter(({ state }) => state === 'ready');
    observe.log('targetsRemembered', { known: records.length, ready: ready.length });
  }

  private async loadQuarantine(): Promise<void> {
    const { folder, fleetState: fleet, observer: observe } = this.dependencies;
    const loaded = await suspectStore.read(folder);
    if (loaded.err) {
      this.logUnreadable(suspectStore.FILE, loaded.val);
      return;
    }
    fleet.quarantine.merge(loaded.val, clock.steady());
    observe.log('quarantineRecalled', { contents: loaded.val.length });
  }

  private async loadLimits(): Promise<void> {
    const { folder, fleetState: fleet, observer: observe } = this.dependencies;
    const loaded = await limitStore.read(folder);
    if (loaded.err) {
      this.logUnreadable(limitStore.FILE, loaded.val);
      return;
    }
    fleet.limits.setAll(loaded.val, clock.steady());
    observe.log('limitsRecalled', { limits: loaded.val.length });
  }

  private async loadEvacuationReplicas(): Promise<void> {
    const { folder, evacuations } = this.dependencies;
    if (evacuations === undefined) return;
    const loaded = await evacuationStore.read(folder);
    if (loaded.ok) evacuations().replaceInformed(loaded.val);
    else this.logUnreadable(evacuationStore.FILE, loaded.val);
  }

  private logUnreadable(file: string, { detail }: softStateFile.Unusable): void {
    this.dependencies.observer.log('memoryNotRead', { file, reason: detail });
  }
}
