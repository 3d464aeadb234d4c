/** How one attempt at a target ends, on an injected clock. */
import * as test from 'node:test';
import * as chai from 'chai';
import * as attempts from '../attempts';
import type * as permittedRun from '../permittedRun';
import * as placedAttempt from '../placedAttempt';

const { expect } = chai;

const ROUTE = { kind: 'safe', timeoutMs: 60_000, objectiveMs: 100, pauseMs: 100 };

/** Longer than the response timeout of the route, and than the interval between two probes. */
const SILENCE_MS = 3_000;

/** An attempt whose complete response can't be taken, with what it calls. */
class Scene {
  now = 0;

  overdueCalls = 0;

  probes = 0;

  cancelled = 0;

  released: string[] = [];

  complete: () => void = () => undefined;

  readonly attempt = new placedAttempt.PlacedAttempt(
    {
      choice: {
        kind: 'placed',
        placement: { target: 't0', address: '', helpers: [], firstTokenMs: 0 },
        release: (outcome: string) => this.released.push(outcome),
      },
      memory: {
        reserveAll: async () => true,
        withReservations: () => [],
        ...{ release: () => undefined, renewFor: () => undefined },
      },
    } as unknown as ConstructorParameters<typeof placedAttempt.PlacedAttempt>[0],
    { sent: () => undefined, began: () => undefined } as unknown as permittedRun.PermittedRun,
    {
      admitted: { route: ROUTE, facts: {}, request: {} },
      service: 'app',
      attempts: new attempts.Attempts(2),
      deliveries: {
        send: () => ({
          ...{ isWithheld: false, isOver: false, wasSent: true },
          result: new Promise((resolve) => {
            this.complete = () => resolve({ kind: 'complete' });
          }),
          cancel: () => {
            this.cancelled += 1;
          },
        }),
      },
      reply: {
        beginAttempt: () => undefined,
        attach: () => undefined,
        lastProgressAt: () => 0,
        isUnrecoverable: false,
      },
      end: {
        isOver: false,
        complete: () => {
          throw new Error('unexpected');
        },
      },
      terms: { urgencyAt: () => ({}) },
      requestLog: { placed: () => undefined },
      evidence: {
        isResponsive: async () => {
          this.probes += 1;
          return false;
        },
      },
      protocol: { requestHeaders: () => [] },
      signals: { bornAt: () => 1 },
      now: () => this.now,
      onOverdue: () => {
        this.overdueCalls += 1;
      },
    } as unknown as placedAttempt.Dependencies,
  );

  /** Lets time pass in steps of the timers, with whatever they start. */
  async pass(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 50) {
      this.now += 50;
      test.mock.timers.tick(50);
      await new Promise(setImmediate);
    }
  }
}

describe('an attempt at a target', () => {
  beforeEach(() => test.mock.timers.enable({ apis: ['setTimeout', 'setInterval'] }));

  afterEach(() => test.mock.timers.reset());

  // Guards against a watchdog that probes a target for ever, as the attempt failed while its answer was taken.
  it('is watched no longer once it has failed unexpectedly', async () => {
    const scene = new Scene();
    const completed = scene.attempt.complete().catch((error: Error) => error.message);
    await scene.pass(100);
    scene.complete();
    expect(await completed).to.equal('unexpected');
    scene.attempt.abandon();
    await scene.pass(SILENCE_MS);
    expect([scene.overdueCalls, scene.probes]).to.deep.equal([0, 0]);
    expect([scene.cancelled, scene.released]).to.deep.equal([1, ['cancelled']]);
  });
});
