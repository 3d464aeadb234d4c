/** Where streams end up whose targets fall silent in turn, with targets of a script and on an injected clock. */
import * as http from 'node:http';
import * as test from 'node:test';
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import type * as admittedRequest from '../admittedRequest';
import * as exchange from '../exchange';
import type * as placementChoice from '../placementChoice';
import * as targetAttempt from '../targetAttempt';
import type * as targetMessage from '../targetMessage';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const STEP_MS = 50;
const EVENT_INTERVAL_MS = 100;
const EVENTS = 50;
const PROBE_TIMEOUT_MS = 300;

const ROUTE: domain.catalogue.catalogue.Route = {
  ...{ name: 'long', host: 'a.example', pathPrefix: '/', kind: 'streaming', isPublic: true },
  ...{ timeoutMs: 12_000, objectiveMs: 1_000, pauseMs: 100, priority: 1, isResumable: true },
  ...{ shares: [{ service: 'app', weight: 1 }], maxAttempts: 2 },
};

/** From when until when a target neither reads nor writes, milliseconds. */
type Silence = [from: number, until: number];

/** Runs one stream on targets that are silent at times; its events are numbered from 1. */
class Scene {
  now = 0;

  /** Targets that got the request, in order. */
  readonly sentTo: string[] = [];

  readonly events: number[] = [];

  /** Whether silent targets answer probes, as slow ones do. */
  answersProbes = false;

  private readonly running = new Set<() => void>();

  private readonly response = Object.assign(new http.ServerResponse({} as http.IncomingMessage), {
    write: (bytes: Buffer) => {
      const ids = [...bytes.toString().matchAll(/id: (\d+)/g)].map(([, id]) => Number(id));
      this.events.push(...ids);
      return true;
    },
  });

  constructor(
    private readonly silences: Record<string, Silence[]>,
    private readonly route = ROUTE,
  ) {}

  /** Lets the stream run until its time is over. */
  async play(): Promise<void> {
    const admitted = {
      ...{ route: this.route, response: this.response, body: Buffer.from(''), arrivedAt: 0 },
      request: Object.assign(new http.IncomingMessage(undefined as never), { method: 'POST' }),
      facts: harness.PROTOCOL.callerMetadata({ id: 'r1' }),
      held: { setBuffered: () => undefined, offered: () => undefined, isUnderPressure: false },
    } as unknown as admittedRequest.AdmittedRequest;
    void new exchange.Exchange(admitted, this.dependencies()).run();
    while (this.now < ROUTE.timeoutMs + STEP_MS) {
      this.now += STEP_MS;
      this.running.forEach((run) => run());
      test.mock.timers.tick(STEP_MS);
      for (let turn = 0; turn < 3; turn++) await new Promise(setImmediate);
    }
  }

  private isSilent(target: string): boolean {
    return this.silences[target].some(([from, until]) => this.now >= from && this.now < until);
  }

  private send(
    message: targetMessage.TargetMessage,
    handler: targetMessage.ResponseHandler,
  ): targetAttempt.Attempt {
    const { target, headers } = message;
    this.sentTo.push(target);
    const resumeAt = headers.indexOf('resume-after');
    let next = 1 + (resumeAt < 0 ? 0 : Number(headers[resumeAt + 1]));
    let nextAt = this.now + EVENT_INTERVAL_MS;
    const attempt = new targetAttempt.Attempt(message, handler, {
      ...{ answered: () => undefined, foreign: () => undefined, ended: () => undefined },
    });
    attempt.started({ abort: () => undefined, pause: () => undefined, resume: () => undefined });
    const run = (): void => {
      if (attempt.isOver) this.running.delete(run);
      if (attempt.isOver || this.isSilent(target) || this.now < nextAt) return;
      if (!attempt.wasAnswered) attempt.answered(this.head());
      attempt.data(Buffer.from(`id: ${next}\ndata: a\n\n`));
      next += 1;
      nextAt = this.now + EVENT_INTERVAL_MS;
      if (next > EVENTS) attempt.finish({ kind: 'complete' });
    };
    this.running.add(run);
    return attempt;
  }

  private head(): targetMessage.ResponseHead {
    const facts = harness.PROTOCOL.responseMetadata(200, { id: 'r1', signed: '1' });
    return { status: 200, raw: [], facts };
  }

  private async check(target: string): Promise<'alive' | 'silent'> {
    if (this.answersProbes || !this.isSilent(target)) return 'alive';
    await new Promise((resolve) => {
      setTimeout(resolve, PROBE_TIMEOUT_MS);
    });
    return 'silent';
  }

  private async choose({
    excluded,
    writers,
  }: placementChoice.PlacementRequest): Promise<placementChoice.Choice> {
    const target = Object.keys(this.silences).find((id) => {
      return !excluded.includes(id) && writers?.includes(id) !== false;
    });
    if (target === undefined) return { kind: 'noPlace', retryAfterMs: 250 };
    const placement = { target, address: '', helpers: [], firstTokenMs: 0 };
    return { kind: 'placed', placement, release: () => undefined };
  }

  private dependencies(): exchange.Dependencies {
    const budgets = new domain.request.repeatBudget.RepeatBudgets({
      ...{ ratio: 1, slack: 100, windowMs: 10_000 },
    });
    budgets.setEntryCount(1, 0);
    const run = { kind: 'granted', endings: 0 };
    const permit = { ...run, sent: () => undefined, began: () => undefined, end: () => undefined };
    return {
      protocol: harness.PROTOCOL,
      selector: { choose: this.choose.bind(this), unavailableForMs: () => 0 },
      targets: { send: this.send.bind(this) },
      liveness: { check: this.check.bind(this), isRefusing: () => false },
      signals: { bornAt: () => 1, isGone: () => false, backOffMs: () => 0 },
      unavailableTargets: { of: () => [] },
      verification: { verify: async () => undefined },
      quarantine: {
        permit: async () => permit,
        checkForCrash: async () => undefined,
        standingOf: () => 'free',
      },
      observer: { log: () => undefined, count: () => undefined, timing: () => undefined },
      random: domain.shared.random.seeded(1),
      now: () => this.now,
      isFresh: () => true,
      budgets,
    } as unknown as exchange.Dependencies;
  }
}

describe('a stream whose targets fall silent in turn', () => {
  let scene: Scene;

  beforeEach(() => {
    test.mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
    test.mock.method(performance, 'now', () => scene.now);
  });

  afterEach(() => {
    test.mock.restoreAll();
    test.mock.timers.reset();
  });

  const expectWhole = (): void => {
    expect(scene.events).to.deep.equal(Array.from({ length: EVENTS }, (_, i) => i + 1));
  };

  // Guards against a stream that ends at its time limit on a silent target, while its first one responds again.
  it('returns to its first target if the second one stays silent', async () => {
    for (const maxAttempts of [2, 3]) {
      scene = new Scene({ t0: [[500, 1_700]], t1: [[1_450, Infinity]] }, { ...ROUTE, maxAttempts });
      await scene.play();
      expectWhole();
      expect(scene.sentTo).to.deep.equal(['t0', 't1', 't0']);
    }
  });

  // Guards against a stream that is sent to and fro between targets that are slow.
  it('stays on its second target if that is merely slow', async () => {
    scene = new Scene({ t0: [[500, Infinity]], t1: [[3_000, 6_000]] });
    scene.answersProbes = true;
    await scene.play();
    expectWhole();
    expect(scene.sentTo).to.deep.equal(['t0', 't1']);
  });

  // Guards against a stream that is cut as its second target pauses, which would have gone on.
  it('ends whole if each of them is silent for a while', async () => {
    scene = new Scene({ t0: [[500, 1_700]], t1: [[3_500, 4_700]] });
    await scene.play();
    expectWhole();
  });
});
