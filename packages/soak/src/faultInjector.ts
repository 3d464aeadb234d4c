/** Carries out the steps of a plan on a fleet, and records which process each step disturbs and for how long. */
import type * as fleet from './fleet';
import type * as forwarder from './forwarder';
import type * as observations from './observations';
import * as operator from './operator';
import * as runtimeFaults from './runtimeFaults';
import type * as schedule from './schedule';
import type * as targetMain from './targetMain';

type Step = schedule.Step;

const GRAY_MODES: targetMain.Mode[] = ['failing', 'mute', 'cutting', 'crossed', 'extra'];

/** Directions in which a VM is cut off; `both` is listed twice so that it is drawn more often. */
const CUT_DIRECTIONS = ['in', 'out', 'both', 'both'] as const;

/** Delay before a process that exited is started again. */
const RESTART_DELAY_MS = 300;

/** A process that hasn't exited this long after SIGTERM is killed. */
const STOP_TIMEOUT_MS = 8_000;

/** Share of killed targets that restart with the same id. */
const SAME_ID_SHARE = 0.4;

/** Share of power losses of all keepers in which as many as the fleet tolerates lose their disks too. */
const WIPE_SHARE = 0.5;
const WIPED_KEEPERS = 2;

const BURST_CHANGES = 6;
const BURST_INTERVAL_MS = 150;
const CLOCK_STEP_MS = 3_000;
const NETWORK_DELAY_MS = 60;

/** Interval between requests with a revoked key to an isolated entry. */
const REVOKED_KEY_INTERVAL_MS = 100;

/** How long a process takes after its start to serve again. */
const WARM_UP_MS = 1_000;

export class FaultInjector {
  constructor(
    private readonly fleet: fleet.Fleet,
    private readonly operators: operator.Operator,
    private readonly observed: observations.Observations,
    private readonly random: () => number,
  ) {}

  /** Carries out a step; resolves when it is over. */
  carryOut(step: Step): Promise<void> {
    return this.actions[step.kind](step);
  }

  /** Actions by kind of step. */
  private readonly actions: Record<schedule.StepKind, (step: Step) => Promise<void>> = {
    entryKill: (step) => this.disturbVm(this.entry(step), step, (vm) => this.powerCycle(vm, 0)),
    entryStop: (step) => this.stopEntry(this.entry(step)),
    entryPause: (step) =>
      this.disturbVm(this.entry(step), step, (vm) => freeze(vm, durationMs(step))),
    entryCut: (step) => this.disturbVm(this.entry(step), step, (vm) => this.isolateVm(vm, step)),
    keeperKill: (step) => this.powerCycleKeeper(step),
    keeperPause: (step) =>
      this.disturbVm(this.keeper(step), step, (vm) => freeze(vm, durationMs(step))),
    keeperCut: (step) => this.disturbVm(this.keeper(step), step, (vm) => this.isolateVm(vm, step)),
    keeperWipe: (step) => this.powerCycleKeeper(step, (vm) => this.fleet.wipe(vm)),
    keeperTear: (step) => this.powerCycleKeeper(step, (vm) => this.fleet.tearJournal(vm)),
    keepersKill: (step) => this.powerCycleAll(this.fleet.keepers, step),
    fleetKill: (step) => this.powerCycleAll(this.fleet.vms, step),
    diskFull: (step) => this.breakDisk(step, 'full'),
    diskStall: (step) => this.breakDisk(step, 'stalled'),
    clockStep: (step) =>
      this.disturbVm(this.fleet.vms[step.index], step, (vm) =>
        applyFaults(vm, step, clockStepFaults(step)),
      ),
    silence: (step) => {
      return this.disturbNetwork(step, 0, (network) =>
        network.blackhole(this.selectShare(step.variant)),
      );
    },
    reset: (step) => {
      return this.disturbNetwork(step, 0, (network) =>
        network.reset(this.selectShare(step.variant)),
      );
    },
    delay: (step) => {
      return this.disturbNetwork(step, durationMs(step), (network) => {
        network.delayMs = NETWORK_DELAY_MS;
      });
    },
    targetKill: (step) => this.disturbTarget(step, (target) => this.killTarget(target, step)),
    targetLeave: (step) => this.drainTarget(this.fleet.targets[step.index]),
    targetPause: (step) => this.disturbTarget(step, (target) => freeze(target, durationMs(step))),
    targetGrey: (step) => this.disturbTarget(step, (target) => makeGray(target, step)),
    changes: () => this.submitBurst(),
    race: ({ variant }) => this.operators.submitConcurrently(variant < 0.5),
    revoke: ({ index }) => this.operators.revokeKey(index).then(() => undefined),
    invalid: () => this.operators.submitInvalid(),
    reload: async (step) => {
      const entry = this.entry(step);
      this.fleet.writeSettings(entry, false);
      entry.process.signal('SIGHUP');
    },
  };

  /** Makes targets report a rate limit for a while. */
  async limitRate({ targets, perSecond, forSeconds }: schedule.LimitingSpan): Promise<void> {
    const spans = targets.map((index) => {
      this.fleet.targets[index].setSelfReport({ limit: perSecond });
      return { index, perSecond, from: Date.now(), until: Infinity };
    });
    this.observed.limited.push(...spans);
    await operator.sleep(forSeconds * 1_000);
    spans.forEach((span) => {
      this.fleet.targets[span.index].setSelfReport({ limit: undefined });
      Object.assign(span, { until: Date.now() });
    });
  }

  /**
   * Makes targets reject requests with `Retry-After` for a while. The first one instead reports that it is draining,
   * and drains at the end.
   */
  async shedLoad({ targets, backOffSeconds, forSeconds }: schedule.SheddingSpan): Promise<void> {
    const sheddingTargets = targets.map((index) => this.fleet.targets[index]);
    sheddingTargets.forEach((target, i) =>
      target.setSelfReport(i === 0 ? { isLeaving: true } : { backOffSeconds }),
    );
    await operator.sleep(forSeconds * 1_000);
    sheddingTargets.forEach((target) =>
      target.setSelfReport({ isLeaving: undefined, backOffSeconds: undefined }),
    );
    await Promise.all(sheddingTargets.slice(0, 1).map((target) => this.drainTarget(target)));
  }

  /** Makes targets refuse requests and repeat answers late for a while. */
  async repeatAnswers({ targets, forSeconds }: schedule.RepeatingSpan): Promise<void> {
    const repeating = targets.map((index) => this.fleet.targets[index]);
    repeating.forEach((target) => target.setSelfReport({ repeatsAnswers: true }));
    await operator.sleep(forSeconds * 1_000);
    repeating.forEach((target) => target.setSelfReport({ repeatsAnswers: undefined }));
  }

  /** The evacuation in progress; the end of one would end another of the same data centre. */
  private evacuation: Promise<void> = Promise.resolve();

  /** Evacuates a data centre once earlier evacuations are over. */
  evacuate(span: schedule.EvacuationSpan): Promise<void> {
    this.evacuation = this.evacuation.then(() => this.evacuateNow(span));
    return this.evacuation;
  }

  /** Evacuates a data centre for a while, and lists it before the end: whatever failed meanwhile, it must still hold. */
  private async evacuateNow({ dataCentre, forSeconds }: schedule.EvacuationSpan): Promise<void> {
    if (!(await this.operators.orderEvacuation(dataCentre, 'start'))) return;
    const ackedAt = Date.now();
    await operator.sleep(forSeconds * 1_000);
    const listed = await this.operators.listEvacuated();
    const endedAt = Date.now();
    this.observed.evacuated.push({
      dataCentre,
      ackedAt,
      endedAt,
      isListed: listed?.includes(dataCentre),
    });
    await this.operators.orderEvacuation(dataCentre, 'end');
  }

  /** Takes the paths of entries to all targets for a while. */
  async sever({ entries, failure, forSeconds }: schedule.SeveringSpan): Promise<void> {
    const severed = entries.map((index) => this.fleet.entries[index]);
    severed.forEach((entry) => this.fleet.severPaths(entry, failure));
    const span = { entries, from: Date.now(), until: Infinity };
    this.observed.severed.push(span);
    await operator.sleep(forSeconds * 1_000);
    span.until = Date.now();
    severed.forEach((entry) => this.fleet.restorePaths(entry));
  }

  /** Makes targets answer a part of their requests without an end for a while. */
  async floodEntries({ targets, form, forSeconds }: schedule.FloodingSpan): Promise<void> {
    const setEndless = (endless: schedule.FloodingSpan['form'] | undefined): void =>
      targets.forEach((index) => this.fleet.targets[index].setSelfReport({ endless }));
    const ends = targets.map((index) => this.beginDisturbance('target', index, 'endless'));
    setEndless(form);
    await operator.sleep(forSeconds * 1_000);
    setEndless(undefined);
    ends.forEach((end) => end());
  }

  /** Makes sound targets silent for a while: stops their processes, or holds what they receive and send. */
  async silence({ targets, isStopped, forSeconds }: schedule.SilenceSpan): Promise<void> {
    const silent = targets.map((index) => this.fleet.targets[index]);
    const { network } = this.fleet;
    const span = { targets, from: Date.now(), until: Infinity };
    this.observed.silenced.push(span);
    silent.forEach(({ process, host }) =>
      isStopped ? process.signal('SIGSTOP') : network.hold(host),
    );
    await operator.sleep(forSeconds * 1_000);
    span.until = Date.now();
    silent.forEach(({ process, host }) =>
      isStopped ? process.signal('SIGCONT') : network.release(host),
    );
  }

  /** Isolates an entry, sets its wall clock back, and revokes a key; resolves when the entry is connected again. */
  async isolate(
    { index, organisation, forSeconds }: schedule.IsolationSpan,
    sendRequest: (entry: fleet.Vm, key: string) => void,
  ): Promise<void> {
    const entry = this.fleet.entries[index];
    const endDisturbance = this.beginDisturbance('entry', index, 'isolated');
    this.fleet.cutLinks(entry, 'both');
    entry.setFaults({ clockMs: -CLOCK_STEP_MS, disk: 'sound' });
    const until = Date.now() + forSeconds * 1_000;
    const revoked = await this.operators.revokeKey(organisation);
    while (revoked !== undefined && Date.now() < until) {
      sendRequest(entry, revoked.key);
      await operator.sleep(REVOKED_KEY_INTERVAL_MS);
    }
    await operator.sleep(Math.max(0, until - Date.now()));
    entry.setFaults(runtimeFaults.NO_FAULTS);
    this.fleet.restoreLinks(entry);
    endDisturbance();
  }

  /** Ends all faults and starts all processes that are down. */
  restoreAll(): void {
    const { network, vms, targets } = this.fleet;
    network.restoreAll();
    vms.forEach((vm) => {
      vm.setFaults(runtimeFaults.NO_FAULTS);
      vm.process.signal('SIGCONT');
      vm.process.start();
    });
    targets.forEach((target) => {
      target.setMode('sound');
      target.process.signal('SIGCONT');
      this.startTarget(target);
    });
  }

  private startTarget(target: fleet.TargetVm, keepsId = false): void {
    this.fleet.startTarget(target, keepsId);
    this.observed.lifetimes.push({ target: target.lifetime, index: target.index });
  }

  private beginDisturbance(
    subject: observations.DisturbedSubject,
    index: number,
    what: string,
  ): () => void {
    const disturbance = { subject, index, what, from: Date.now(), until: Infinity };
    this.observed.disturbances.push(disturbance);
    return () => {
      disturbance.until = Date.now();
    };
  }

  private entry({ index }: Step): fleet.Vm {
    return this.fleet.entries[index];
  }

  private keeper({ index }: Step): fleet.Vm {
    return this.fleet.keepers[index];
  }

  private async disturbVm(
    vm: fleet.Vm,
    { kind }: Step,
    act: (vm: fleet.Vm) => Promise<void>,
  ): Promise<void> {
    const endDisturbance = this.beginDisturbance(vm.role, vm.index, kind);
    await act(vm);
    endDisturbance();
  }

  private async disturbTarget(
    { kind, index }: Step,
    act: (target: fleet.TargetVm) => Promise<void>,
  ): Promise<void> {
    const endDisturbance = this.beginDisturbance('target', index, kind);
    await act(this.fleet.targets[index]);
    endDisturbance();
  }

  private async disturbNetwork(
    { kind }: Step,
    holdMs: number,
    act: (network: forwarder.Network) => void,
  ): Promise<void> {
    const { network } = this.fleet;
    const endDisturbance = this.beginDisturbance('network', 0, kind);
    act(network);
    await operator.sleep(holdMs);
    network.delayMs = 0;
    endDisturbance();
  }

  private selectShare(share: number): () => boolean {
    return () => this.random() < share;
  }

  /** Simulates a power loss of a keeper, which loses its disk or keeps it; resolves when it answers again. */
  async loseKeeper(keeper: fleet.Vm, isWiped: boolean): Promise<void> {
    const endDisturbance = this.beginDisturbance('keeper', keeper.index, 'lossSeries');
    await keeper.process.kill();
    this.fleet.discardUnsynced(keeper);
    if (isWiped) this.fleet.wipe(keeper);
    await operator.sleep(RESTART_DELAY_MS);
    keeper.process.start();
    await this.operators.untilAnswers(keeper.index);
    endDisturbance();
  }

  private async powerCycle(
    vm: fleet.Vm,
    downMs: number,
    meanwhile?: (vm: fleet.Vm) => void,
  ): Promise<void> {
    await vm.process.kill();
    this.fleet.discardUnsynced(vm);
    meanwhile?.(vm);
    await operator.sleep(RESTART_DELAY_MS + downMs);
    vm.process.start();
    await operator.sleep(WARM_UP_MS);
  }

  /** Simulates a power loss of a keeper; `meanwhile` damages its disk. */
  private powerCycleKeeper(step: Step, meanwhile?: (vm: fleet.Vm) => void): Promise<void> {
    return this.disturbVm(this.keeper(step), step, (vm) =>
      this.powerCycle(vm, durationMs(step), meanwhile),
    );
  }

  /**
   * Simulates a power loss of all keepers, and possibly of entries. Documents that were acknowledged before must
   * survive it; the newest one is read back before later submissions can hide a loss.
   */
  private async powerCycleAll(vms: readonly fleet.Vm[], step: Step): Promise<void> {
    const wiped = this.keepersToWipe(step.variant);
    const wipe = (vm: fleet.Vm): void => {
      if (wiped.includes(vm)) this.fleet.wipe(vm);
    };
    const powerCycleVm = (vm: fleet.Vm): Promise<void> =>
      this.powerCycle(vm, durationMs(step), wipe);
    await this.operators.withSubmissionsPaused(async () => {
      const lostAt = Date.now();
      await Promise.all(vms.map((vm) => this.disturbVm(vm, step, powerCycleVm)));
      this.observed.restartReads.push({ lostAt, document: await this.operators.readNewest() });
    });
  }

  /** The keepers that lose their disks with a power loss of all; a variant below `WIPE_SHARE` selects where they begin. */
  private keepersToWipe(variant: number): fleet.Vm[] {
    if (variant >= WIPE_SHARE) return [];
    const { keepers } = this.fleet;
    const first = Math.floor((variant / WIPE_SHARE) * keepers.length);
    return [...keepers, ...keepers].slice(first, first + WIPED_KEEPERS);
  }

  private breakDisk(step: Step, disk: runtimeFaults.Disk): Promise<void> {
    return this.disturbVm(this.keeper(step), step, (vm) =>
      applyFaults(vm, step, { clockMs: 0, disk }),
    );
  }

  private async isolateVm(vm: fleet.Vm, step: Step): Promise<void> {
    this.fleet.cutLinks(vm, CUT_DIRECTIONS[Math.floor(step.variant * CUT_DIRECTIONS.length)]);
    await operator.sleep(durationMs(step));
    this.fleet.restoreLinks(vm);
  }

  private async killTarget(target: fleet.TargetVm, { variant }: Step): Promise<void> {
    await target.process.kill();
    await operator.sleep(RESTART_DELAY_MS);
    this.startTarget(target, variant < SAME_ID_SHARE);
  }

  private async stopEntry(entry: fleet.Vm): Promise<void> {
    const { process, index } = entry;
    if (!process.isRunning) return;
    const { incarnation } = process;
    const from = Date.now();
    process.signal('SIGTERM');
    await process.exited(STOP_TIMEOUT_MS);
    this.observed.stopped.push({ entry: index, incarnation, from, until: Date.now() });
    await operator.sleep(RESTART_DELAY_MS);
    process.start();
  }

  private async drainTarget(target: fleet.TargetVm): Promise<void> {
    target.process.signal('SIGTERM');
    await target.process.exited(STOP_TIMEOUT_MS);
    await operator.sleep(RESTART_DELAY_MS);
    this.startTarget(target);
  }

  private async submitBurst(): Promise<void> {
    for (let i = 0; i < BURST_CHANGES; i++) {
      await this.operators.submitNext();
      await operator.sleep(BURST_INTERVAL_MS);
    }
  }
}

/** Duration of a step in milliseconds. */
function durationMs({ forSeconds }: Step): number {
  return forSeconds * 1_000;
}

async function freeze({ process }: Pick<fleet.Vm, 'process'>, pauseMs: number): Promise<void> {
  process.signal('SIGSTOP');
  await operator.sleep(pauseMs);
  process.signal('SIGCONT');
}

async function applyFaults(
  vm: fleet.Vm,
  step: Step,
  faults: runtimeFaults.RuntimeFaults,
): Promise<void> {
  vm.setFaults(faults);
  await operator.sleep(durationMs(step));
  vm.setFaults(runtimeFaults.NO_FAULTS);
}

function clockStepFaults({ variant }: Step): runtimeFaults.RuntimeFaults {
  return { clockMs: variant < 0.5 ? -CLOCK_STEP_MS : CLOCK_STEP_MS, disk: 'sound' };
}

async function makeGray(target: fleet.TargetVm, step: Step): Promise<void> {
  target.setMode(GRAY_MODES[Math.floor(step.variant * GRAY_MODES.length)]);
  await operator.sleep(durationMs(step));
  target.setMode('sound');
}
