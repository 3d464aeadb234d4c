/**
 * Callers whose requests crash every target that runs them: copies of one request, or requests that share only one part
 * of their prompts. They are sent to the entries in turn, at the plan's rate and regardless of the responses. Crashed targets are restarted as new lifetimes.
 */
import * as domain from '@celerydrift/domain';
import * as answers from './answers';
import type * as callers from './callers';
import type * as fleet from './fleet';
import type * as observations from './observations';
import * as operator from './operator';
import type * as schedule from './schedule';

/** Delay before a crashed target is restarted. */
const DOWNTIME_MS = 700;

const POLL_INTERVAL_MS = 50;

export interface Dependencies {
  fleet: fleet.Fleet;
  callers: callers.Callers;
  observed: observations.Observations;
  random: domain.shared.random.Random;
  key: () => string;
}

export class CrashingCallers {
  private count = 0;

  constructor(private readonly dependencies: Dependencies) {}

  /** Sends the copies of one planned period; resolves when all have an outcome and no crashed target is down. */
  async carryOut({
    forSeconds,
    kind,
    pauseSeconds,
    isByPart,
  }: schedule.CrashingSpan): Promise<void> {
    this.count += 1;
    const cause = isByPart
      ? `${answers.CRASHING_PART}${this.count}`
      : `${answers.CRASH_MARKER} ${this.count}`;
    // The key is part of the request fingerprint, so all copies use the same one.
    const key = this.dependencies.key();
    const until = Date.now() + forSeconds * 1_000;
    const copies: Promise<void>[] = [];
    const { random, fleet } = this.dependencies;
    for (let i = this.count; Date.now() < until; i++) {
      const entry = fleet.entries[i % fleet.entries.length];
      const request = { entry, kind, path: operator.basePath(kind), key };
      const { callers: sender } = this.dependencies;
      const attributes = isByPart
        ? { body: `prompt ${i}`, parts: [sender.firstPart(), cause] }
        : { body: cause, parts: [sender.firstPart()] };
      copies.push(this.send({ ...request, ...attributes }, cause));
      await operator.sleep(domain.shared.random.exponential(random, 1_000 * pauseSeconds));
    }
    await Promise.all(copies);
    await this.untilTargetsRestart();
  }

  /** Records the crash of a target and restarts it after a delay. */
  onCrash(crash: observations.TargetCrash): void {
    const { observed, fleet } = this.dependencies;
    observed.crashed.push(crash);
    const target = fleet.targets.find(({ lifetime }) => lifetime === crash.target);
    if (target === undefined) return;
    const { index } = target;
    const disturbance: observations.Disturbance = {
      subject: 'target',
      index,
      what: 'crashed',
      from: crash.at,
      until: Infinity,
    };
    observed.disturbances.push(disturbance);
    void operator.sleep(DOWNTIME_MS).then(() => {
      fleet.startTarget(target);
      observed.lifetimes.push({ target: target.lifetime, index });
      disturbance.until = Date.now();
    });
  }

  private async send(request: Required<callers.CallerRequest>, cause: string): Promise<void> {
    const record = await this.dependencies.callers.send(request);
    this.dependencies.observed.crashers.push({ ...record, cause });
  }

  private async untilTargetsRestart(): Promise<void> {
    const { disturbances } = this.dependencies.observed;
    while (disturbances.some(({ what, until }) => what === 'crashed' && until === Infinity)) {
      await operator.sleep(POLL_INTERVAL_MS);
    }
  }
}
