/** Carries out the steps of a plan on a fleet, and notes from when to when each harms what. */
import type * as fleet from './fleet';
import type * as forwarder from './forwarder';
import type * as observations from './observations';
import * as operator from './operator';
import * as runtimeFaults from './runtimeFaults';
import type * as schedule from './schedule';
import type * as targetMain from './targetMain';

type Step = schedule.Step;

const GREY: targetMain.Mode[] = ['failing', 'mute', 'cutting', 'crossed', 'extra'];

/** Ways of a VM that a cut takes; both more often. */
const DIRECTIONS = ['in', 'out', 'both', 'both'] as const;

/** Pause before a process that ended is started again, milliseconds. */
const RESTART_MS = 300;

/** Longest time for a planned stop; the process is killed then. */
const STOP_MS = 8_000;

/** Part of the killed targets that start again under the id that they had. */
const REBORN_SHARE = 0.4;

/** Part of the losses of all keepers in which some of them lose their disks too, as many as the settings tolerate. */
const WIPED_SHARE = 0.5;
const WIPED_KEEPERS = 2;

const STORM_CHANGES = 6;
const STORM_PAUSE_MS = 150;
const CLOCK_STEP_MS = 3_000;
const DELAY_MS = 60;

/** Pause between two requests with a key that was taken away, milliseconds. */
const ASK_EVERY_MS = 100;

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
  carryOut(step: Step): Promise<void> {
    return this.actions[step.kind](step);
  }

  /** What each kind of step does. */
  private readonly actions: Record<schedule.Kind, (step: Step) => Promise<void>> = {
    entryKill: (step) => this.around(this.entry(step), step, (vm) => this.restart(vm, 0)),
    entryStop: (step) => this.stop(this.entry(step)),
    entryPause: (step) => this.around(this.entry(step), step, (vm) => freeze(vm, lasts(step))),
    entryCut: (step) => this.around(this.entry(step), step, (vm) => this.cut(vm, step)),
    keeperKill: (step) => this.lose(step),
    keeperPause: (step) => this.around(this.keeper(step), step, (vm) => freeze(vm, lasts(step))),
    keeperCut: (step) => this.around(this.keeper(step), step, (vm) => this.cut(vm, step)),
    keeperWipe: (step) => this.lose(step, (vm) => this.running.wipe(vm)),
    keeperTear: (step) => this.lose(step, (vm) => this.running.tear(vm)),
    keepersKill: (step) => this.loseAllKeepers(this.running.keepers, step),
    fleetKill: (step) => this.loseAllKeepers(this.running.vms, step),
    diskFull: (step) => this.spoilDisk(step, 'full'),
    diskStall: (step) => this.spoilDisk(step, 'stalled'),
    clockStep: (step) =>
      this.around(this.running.vms[step.index], step, (vm) => spoil(vm, step, clockStep(step))),
    silence: (step) => {
      return this.acrossNetwork(step, 0, (network) => network.silence(this.hits(step.variant)));
    },
    reset: (step) => {
      return this.acrossNetwork(step, 0, (network) => network.reset(this.hits(step.variant)));
    },
    delay: (step) => {
      return this.acrossNetwork(step, lasts(step), (network) => {
        network.delayMs = DELAY_MS;
      });
    },
    targetKill: (step) => this.aroundTarget(step, (target) => this.killTarget(target, step)),
    targetLeave: (step) => this.leave(this.running.targets[step.index]),
    targetPause: (step) => this.aroundTarget(step, (target) => freeze(target, lasts(step))),
    targetGrey: (step) => this.aroundTarget(step, (target) => turnGrey(target, step)),
    changes: () => this.storm(),
    race: ({ variant }) => this.operators.race(variant < 0.5),
    revoke: ({ index }) => this.operators.revoke(index).then(() => undefined),
    invalid: () => this.operators.invalid(),
    reload: async (step) => {
      const entry = this.entry(step);
      this.running.writeSettings(entry, false);
      entry.process.signal('SIGHUP');
    },
  };

  /** Targets in need name a limit for a while. */
  async limit({ targets, perSecond, forSeconds }: schedule.Limiting): Promise<void> {
    const spans = targets.map((index) => {
      this.running.targets[index].setWords({ limit: perSecond });
      return { index, perSecond, from: Date.now(), until: Infinity };
    });
    this.seen.limited.push(...spans);
    await operator.pause(forSeconds * 1_000);
    spans.forEach((span) => {
      this.running.targets[span.index].setWords({ limit: undefined });
      Object.assign(span, { until: Date.now() });
    });
  }

  /** Targets turn requests away and ask to be left alone, but for one that says it leaves, and does so at the end. */
  async shed({ targets, backOffSeconds, forSeconds }: schedule.Shedding): Promise<void> {
    const shedding = targets.map((index) => this.running.targets[index]);
    shedding.forEach((target, i) =>
      target.setWords(i === 0 ? { isLeaving: true } : { backOffSeconds }),
    );
    await operator.pause(forSeconds * 1_000);
    shedding.forEach((target) =>
      target.setWords({ isLeaving: undefined, backOffSeconds: undefined }),
    );
    await Promise.all(shedding.slice(0, 1).map((target) => this.leave(target)));
  }

  /** Cuts an entry off, sets its time of day back, and takes a key away; resolves when the entry is back. */
  async isolate(
    { index, organisation, forSeconds }: schedule.Isolating,
    ask: (entry: fleet.Vm, key: string) => void,
  ): Promise<void> {
    const entry = this.running.entries[index];
    const end = this.begin('entry', index, 'isolated');
    this.running.cut(entry, 'both');
    entry.setFaults({ clockMs: -CLOCK_STEP_MS, disk: 'sound' });
    const until = Date.now() + forSeconds * 1_000;
    const revoked = await this.operators.revoke(organisation);
    while (revoked !== undefined && Date.now() < until) {
      ask(entry, revoked.key);
      await operator.pause(ASK_EVERY_MS);
    }
    await operator.pause(Math.max(0, until - Date.now()));
    entry.setFaults(runtimeFaults.SOUND);
    this.running.mend(entry);
    end();
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

  private start(target: fleet.TargetVm, keepsId = false): void {
    this.running.startTarget(target, keepsId);
    this.seen.lifetimes.push({ target: target.lifetime, index: target.index });
  }

  private begin(subject: observations.Subject, index: number, what: string): () => void {
    const disturbance = { subject, index, what, from: Date.now(), until: Infinity };
    this.seen.disturbances.push(disturbance);
    return () => {
      disturbance.until = Date.now();
    };
  }

  private entry({ index }: Step): fleet.Vm {
    return this.running.entries[index];
  }

  private keeper({ index }: Step): fleet.Vm {
    return this.running.keepers[index];
  }

  private async around(
    vm: fleet.Vm,
    { kind }: Step,
    act: (vm: fleet.Vm) => Promise<void>,
  ): Promise<void> {
    const end = this.begin(vm.role, vm.index, kind);
    await act(vm);
    end();
  }

  private async aroundTarget(
    { kind, index }: Step,
    act: (target: fleet.TargetVm) => Promise<void>,
  ): Promise<void> {
    const end = this.begin('target', index, kind);
    await act(this.running.targets[index]);
    end();
  }

  private async acrossNetwork(
    { kind }: Step,
    lastsMs: number,
    act: (network: forwarder.Network) => void,
  ): Promise<void> {
    const { network } = this.running;
    const end = this.begin('network', 0, kind);
    act(network);
    await operator.pause(lastsMs);
    network.delayMs = 0;
    end();
  }

  private hits(share: number): () => boolean {
    return () => this.random() < share;
  }

  private async restart(
    vm: fleet.Vm,
    downMs: number,
    meanwhile?: (vm: fleet.Vm) => void,
  ): Promise<void> {
    await vm.process.kill();
    this.running.losePower(vm);
    meanwhile?.(vm);
    await operator.pause(RESTART_MS + downMs);
    vm.process.start();
    await operator.pause(WARM_MS);
  }

  /** A keeper loses power for a while; `meanwhile` harms its disk. */
  private lose(step: Step, meanwhile?: (vm: fleet.Vm) => void): Promise<void> {
    return this.around(this.keeper(step), step, (vm) => this.restart(vm, lasts(step), meanwhile));
  }

  /** What was acknowledged before must be there after it, so it is read before newer documents hide a loss. */
  private async loseAllKeepers(vms: readonly fleet.Vm[], step: Step): Promise<void> {
    const wiped = this.running.keepers.slice(0, step.variant < WIPED_SHARE ? WIPED_KEEPERS : 0);
    const wipe = (vm: fleet.Vm): void => {
      if (wiped.includes(vm)) this.running.wipe(vm);
    };
    const lose = (vm: fleet.Vm): Promise<void> => this.restart(vm, lasts(step), wipe);
    await this.operators.whileSilent(async () => {
      const lostAt = Date.now();
      await Promise.all(vms.map((vm) => this.around(vm, step, lose)));
      this.seen.restartReads.push({ lostAt, document: await this.operators.readBack() });
    });
  }

  private spoilDisk(step: Step, disk: runtimeFaults.Disk): Promise<void> {
    return this.around(this.keeper(step), step, (vm) => spoil(vm, step, { clockMs: 0, disk }));
  }

  private async cut(vm: fleet.Vm, step: Step): Promise<void> {
    this.running.cut(vm, DIRECTIONS[Math.floor(step.variant * DIRECTIONS.length)]);
    await operator.pause(lasts(step));
    this.running.mend(vm);
  }

  private async killTarget(target: fleet.TargetVm, { variant }: Step): Promise<void> {
    await target.process.kill();
    await operator.pause(RESTART_MS);
    this.start(target, variant < REBORN_SHARE);
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

/** How long a step lasts, milliseconds. */
function lasts({ forSeconds }: Step): number {
  return forSeconds * 1_000;
}

async function freeze({ process }: Pick<fleet.Vm, 'process'>, lastsMs: number): Promise<void> {
  process.signal('SIGSTOP');
  await operator.pause(lastsMs);
  process.signal('SIGCONT');
}

async function spoil(vm: fleet.Vm, step: Step, faults: runtimeFaults.RuntimeFaults): Promise<void> {
  vm.setFaults(faults);
  await operator.pause(lasts(step));
  vm.setFaults(runtimeFaults.SOUND);
}

function clockStep({ variant }: Step): runtimeFaults.RuntimeFaults {
  return { clockMs: variant < 0.5 ? -CLOCK_STEP_MS : CLOCK_STEP_MS, disk: 'sound' };
}

async function turnGrey(target: fleet.TargetVm, step: Step): Promise<void> {
  target.setMode(GREY[Math.floor(step.variant * GREY.length)]);
  await operator.pause(lasts(step));
  target.setMode('sound');
}
