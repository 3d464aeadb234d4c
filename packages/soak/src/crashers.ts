/**
 * Callers whose requests crash each target that runs them. They send copies of one content at one entry after the other, as fast
 * as the plan says and whatever they hear; targets that ended are started again as new lifetimes.
 */
import * as domain from '@celerydrift/domain';
import * as answers from './answers';
import type * as callers from './callers';
import type * as fleet from './fleet';
import type * as observations from './observations';
import * as operator from './operator';
import type * as schedule from './schedule';

/** How long a crashed target is away, milliseconds. */
const DOWN_MS = 700;

const LOOK_MS = 50;

export interface Parts {
  running: fleet.Fleet;
  callers: callers.Callers;
  seen: observations.Observations;
  random: domain.shared.random.Random;
  key: () => string;
}

export class Crashers {
  private count = 0;

  constructor(private readonly parts: Parts) {}

  /** Carries out one of a plan; resolves when all its copies have ended and the targets are back. */
  async carryOut({ forSeconds, kind, pauseSeconds }: schedule.Crashing): Promise<void> {
    this.count += 1;
    const body = `${answers.CRASH_WORD} ${this.count}`;
    // The key is a part of the content.
    const key = this.parts.key();
    const until = Date.now() + forSeconds * 1_000;
    const copies: Promise<void>[] = [];
    const { random, running } = this.parts;
    for (let i = this.count; Date.now() < until; i++) {
      const entry = running.entries[i % running.entries.length];
      copies.push(this.ask({ entry, kind, path: operator.basePath(kind), key, body }));
      await operator.pause(domain.shared.random.exponential(random, 1_000 * pauseSeconds));
    }
    await Promise.all(copies);
    await this.untilBack();
  }

  /** A target ended under a request. */
  ended(crashed: observations.Crashed): void {
    const { seen, running } = this.parts;
    seen.crashed.push(crashed);
    const target = running.targets.find(({ lifetime }) => lifetime === crashed.target);
    if (target === undefined) return;
    const { index } = target;
    const disturbance: observations.Disturbance = {
      subject: 'target',
      index,
      what: 'crashed',
      from: crashed.at,
      until: Infinity,
    };
    seen.disturbances.push(disturbance);
    void operator.pause(DOWN_MS).then(() => {
      running.startTarget(target);
      seen.lifetimes.push({ target: target.lifetime, index });
      disturbance.until = Date.now();
    });
  }

  private async ask(question: Required<callers.Question>): Promise<void> {
    const asked = await this.parts.callers.ask(question);
    this.parts.seen.crashers.push({ ...asked, body: question.body });
  }

  private async untilBack(): Promise<void> {
    const { disturbances } = this.parts.seen;
    while (disturbances.some(({ what, until }) => what === 'crashed' && until === Infinity)) {
      await operator.pause(LOOK_MS);
    }
  }
}
