/** Carries out the steps of a plan on a fleet, and notes from when to when each harms what. */
import type * as fleet from './fleet';
import type * as observations from './observations';
import * as operator from './operator';
import * as runtimeFaults from './runtimeFaults';
import type * as schedule from './schedule';
import type * as targetMain from './targetMain';

type Step = schedule.Step;

const GREY: targetMain.Mode[] = ['failing', 'mute', 'cutting', 'crossed', 'extra'];

/** Pause before a process that ended is started again, milliseconds. */
const RESTART_MS = 300;

/** Longest time for a planned stop; the process is killed then. */
const STOP_MS = 8_000;

const STORM_CHANGES = 6;
const STORM_PAUSE_MS = 150;
const CLOCK_STEP_MS = 3_000;
const DELAY_MS = 60;

/** A process needs so long after its start to be of use again, milliseconds. */
const WARM_MS = 1_000;

export class Harm {
  constructor(
    private readonly running: fleet.Fleet,
    private readonly operators: operator.Operator,
    private readonly seen: observations.Observations,
    private readonly random: () => number,
  ) {}

  /** Starts a step; resolves when it is over. */
  async carryOut(step: Step): Promise<void> {
    const { kind, index, variant } = step;
    const entry = this.running.entries[index];
    const keeper = this.running.keepers[index];
    const target = this.running.targets[index];
    const lasts = step.forSeconds * 1_000;
    switch (kind) {
      case 'entryKill':
        return this.around(entry, kind, () => this.restart(entry, 0));
      case 'keeperKill':
        return this.around(keeper, kind, () => this.restart(keeper, lasts));
      case 'keeperWipe':
        return this.around(keeper, kind, () =>
          this.restart(keeper, lasts, () => this.running.wipe(keeper)),
        );
      case 'keeperTear':
        return this.around(keeper, kind, () =>
          this.restart(keeper, lasts, () => this.running.tear(keeper)),
        );
      case 'keepersKill':
        return this.together(this.running.keepers, kind, lasts);
      case 'fleetKill':
        return this.together(this.running.vms, kind, lasts);
      case 'entryStop':
        return this.stop(entry);
      case 'entryPause':
        return this.around(entry, kind, () => this.freeze(entry, lasts));
      case 'keeperPause':
        return this.around(keeper, kind, () => this.freeze(keeper, lasts));
      case 'entryCut':
        return this.around(entry, kind, () => this.cut(entry, variant, lasts));
      case 'keeperCut':
        return this.around(keeper, kind, () => this.cut(keeper, variant, lasts));
      case 'diskFull':
      case 'diskStall':
        return this.around(keeper, kind, () => this.spoilDisk(keeper, kind, lasts));
      case 'clockStep':
        return this.stepClock(index, variant, lasts);
      case 'silence':
        return this.acrossNetwork(kind, 0, () => this.running.network.silence(this.hits(variant)));
      case 'reset':
        return this.acrossNetwork(kind, 0, () => this.running.network.reset(this.hits(variant)));
      case 'delay':
        return this.acrossNetwork(kind, lasts, () => {
          this.running.network.delayMs = DELAY_MS;
        });
      case 'targetKill':
        return this.aroundTarget(target, kind, async () => {
          await target.process.kill();
          await operator.pause(RESTART_MS);
          this.start(target);
        });
      case 'targetPause':
        return this.aroundTarget(target, kind, () => this.freeze(target, lasts));
      case 'targetGrey':
        return this.aroundTarget(target, kind, async () => {
          target.setMode(GREY[Math.floor(variant * GREY.length)]);
          await operator.pause(lasts);
          target.setMode('sound');
        });
      case 'targetLeave':
        return this.leave(target);
      case 'changes':
        return this.storm();
      case 'race':
        return this.operators.race(variant < 0.5);
      case 'revoke':
        return this.operators.revoke(index);
      case 'invalid':
        return this.operators.invalid();
      case 'reload':
        this.running.writeSettings(entry, false);
        entry.process.signal('SIGHUP');
        return undefined;
    }
  }

  /** Ends everything that lasts, and starts what is down. */
  heal(): void {
    const { network, vms, targets } = this.running;
    network.heal();
    vms.forEach((vm) => {
      vm.setFaults(runtimeFaults.SOUND);
      vm.process.signal('SIGCONT');
      vm.process.start();
    });
    targets.forEach((target) => {
      target.setMode('sound');
      target.process.signal('SIGCONT');
      this.start(target);
    });
  }

  private start(target: fleet.TargetVm): void {
    this.running.startTarget(target);
    this.seen.lifetimes.push({ target: target.lifetime, index: target.index });
  }

  private begin(subject: observations.Subject, index: number, what: string): () => void {
    const disturbance = { subject, index, what, from: Date.now(), until: Infinity };
    this.seen.disturbances.push(disturbance);
    return () => {
      disturbance.until = Date.now();
    };
  }

  private async around(vm: fleet.Vm, what: string, act: () => Promise<void>): Promise<void> {
    const end = this.begin(vm.role, vm.index, what);
    await act();
    end();
  }

  private async aroundTarget(
    target: fleet.TargetVm,
    what: string,
    act: () => Promise<void>,
  ): Promise<void> {
    const end = this.begin('target', target.index, what);
    await act();
    end();
  }

  private async acrossNetwork(what: string, lasts: number, act: () => void): Promise<void> {
    const end = this.begin('network', 0, what);
    act();
    await operator.pause(lasts);
    this.running.network.delayMs = 0;
    end();
  }

  private hits(share: number): () => boolean {
    return () => this.random() < share;
  }

  private async restart(vm: fleet.Vm, downMs: number, meanwhile?: () => void): Promise<void> {
    await vm.process.kill();
    this.running.losePower(vm);
    meanwhile?.();
    await operator.pause(RESTART_MS + downMs);
    vm.process.start();
    await operator.pause(WARM_MS);
  }

  private async together(vms: readonly fleet.Vm[], what: string, downMs: number): Promise<void> {
    await Promise.all(vms.map((vm) => this.around(vm, what, () => this.restart(vm, downMs))));
  }

  private async freeze({ process }: Pick<fleet.Vm, 'process'>, lasts: number): Promise<void> {
    process.signal('SIGSTOP');
    await operator.pause(lasts);
    process.signal('SIGCONT');
  }

  private async cut(vm: fleet.Vm, variant: number, lasts: number): Promise<void> {
    const directions = ['in', 'out', 'both', 'both'] as const;
    this.running.cut(vm, directions[Math.floor(variant * directions.length)]);
    await operator.pause(lasts);
    this.running.mend(vm);
  }

  private async spoilDisk(vm: fleet.Vm, kind: string, lasts: number): Promise<void> {
    vm.setFaults({ clockMs: 0, disk: kind === 'diskFull' ? 'full' : 'stalled' });
    await operator.pause(lasts);
    vm.setFaults(runtimeFaults.SOUND);
  }

  private async stepClock(index: number, variant: number, lasts: number): Promise<void> {
    const vm = this.running.vms[index];
    const clockMs = variant < 0.5 ? -CLOCK_STEP_MS : CLOCK_STEP_MS;
    await this.around(vm, 'clockStep', async () => {
      vm.setFaults({ clockMs, disk: 'sound' });
      await operator.pause(lasts);
      vm.setFaults(runtimeFaults.SOUND);
    });
  }

  private async stop(entry: fleet.Vm): Promise<void> {
    const { process, index } = entry;
    if (!process.isRunning) return;
    const { incarnation } = process;
    const from = Date.now();
    process.signal('SIGTERM');
    await process.ended(STOP_MS);
    this.seen.stopped.push({ entry: index, incarnation, from, until: Date.now() });
    await operator.pause(RESTART_MS);
    process.start();
  }

  private async leave(target: fleet.TargetVm): Promise<void> {
    target.process.signal('SIGTERM');
    await target.process.ended(STOP_MS);
    await operator.pause(RESTART_MS);
    this.start(target);
  }

  private async storm(): Promise<void> {
    for (let i = 0; i < STORM_CHANGES; i++) {
      await this.operators.change();
      await operator.pause(STORM_PAUSE_MS);
    }
  }
}
