/** Cost of the wait queue for a leader of 150 engines, in virtual time. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as random from '@celerydrift/domain/dist/shared/random';
import * as placer from '../placer';

const { expect } = chai;

const ENGINES = 150;

/** Cost of an attempt with this many engines and cold code, in milliseconds. */
const ATTEMPT_MS = 1.5;

/** An engine with seven slots and a large cache. */
const ENGINE: domain.catalogue.catalogue.Engine = {
  memoryTokens: 315_000,
  slots: 7,
  stepMs: 0.85,
  writerStepMs: 0.006,
  contextStepMs: 0.00285,
  readTokensPerMs: 177,
  pairMsPerMillion: 0.184,
  chunkTokens: 2_048,
  stepsPerPass: 80,
  usualAnswerTokens: 1_600,
  hopMs: 0.05,
};

/** Counts attempts, all of which fail. */
class FullAllocator extends domain.allocation.allocator.Allocator {
  attempts = 0;

  override choose(): domain.allocation.allocator.PlacementResult {
    this.attempts += 1;
    return { kind: 'full' };
  }
}

function fullFleet(): FullAllocator {
  const allocator = new FullAllocator();
  allocator.setServices([{ name: 's', healthPath: '/', maxConnections: 200, engine: ENGINE }]);
  for (let i = 0; i < ENGINES; i++) {
    allocator.observe({
      id: `t${i}`,
      bornAt: 1,
      service: 's',
      address: `10.0.0.${i}:80`,
      dataCentre: 'east',
      slots: 7,
      state: 'ready',
      sequence: 1,
    });
  }
  return allocator;
}

describe('placement in a burst', () => {
  /*
   * Guards against the loss of a leader that is only busy: hundreds of prompts of several kinds waited while all
   * engines were full, and every 10 ms the leader tried eight of them at 150 engines, which took longer than 10 ms.
   */
  it('spends about a quarter of its time on the wait queue', () => {
    const allocator = fullFleet();
    const timers: { at: number; action: () => void }[] = [];
    let now = 0;
    const tested = new placer.Placer({
      allocator,
      clock: { now: () => now, after: (ms, action) => timers.push({ at: now + ms, action }) },
      random: random.seeded(1),
      onRefused: () => undefined,
    });
    tested.open();
    for (let i = 0; i < 200; i++) {
      const request = {
        id: `r${i}`,
        entry: 'e',
        service: 's',
        tokens: 10_000 - i,
        answerTokens: 1_600,
        // Ten classes of requests, so that a failure implies little about the others.
        objectiveMs: 4_000,
        pauseMs: 200 + (i % 10),
        waitedMs: 0,
        dataCentre: 'east',
        excluded: [],
        patienceMs: 2_000,
      };
      tested.placeWithCallback(request, () => undefined);
    }
    allocator.attempts = 0;
    while (timers.length > 0 && now < 1_000) {
      timers.sort((a, b) => a.at - b.at);
      const next = timers.shift();
      now = next?.at ?? now;
      next?.action();
    }
    expect(allocator.attempts * ATTEMPT_MS).to.be.within(100, 300);
  });
});

describe('placement beside a target with a rate limit', () => {
  /** Guards against prompts that wait beside free engines behind one that is bound to a limited target. */
  it('delays no prompt because of one that only a limited target may take', () => {
    let now = 0;
    const limits = new domain.rateLimits.rateLimits.RateLimits();
    limits.setShare(1, now);
    const allocator = new domain.allocation.allocator.Allocator(undefined, undefined, limits);
    allocator.setServices([{ name: 's', healthPath: '/', maxConnections: 200, engine: ENGINE }]);
    ['bound', 'free'].forEach((id) => {
      const location = { service: 's', address: `10.0.0.${id.length}:80`, dataCentre: 'east' };
      allocator.observe({ id, ...location, bornAt: 1, slots: 7, state: 'ready', sequence: 1 });
    });
    limits.set({ service: 's', address: '10.0.0.5:80', perSecond: 1 }, now);
    const timers: { at: number; action: () => void }[] = [];
    const tested = new placer.Placer({
      allocator,
      clock: { now: () => now, after: (ms, action) => timers.push({ at: now + ms, action }) },
      random: random.seeded(1),
      onRefused: () => undefined,
    });
    tested.open();
    const prompt = {
      entry: 'e',
      service: 's',
      excluded: [],
      tokens: 1_000,
      answerTokens: 100,
      objectiveMs: 3_000,
      pauseMs: 250,
      waitedMs: 0,
      dataCentre: 'east',
      patienceMs: 2_000,
    };
    const placed: [string, number][] = [];
    const place = (id: string, writers?: string[]): void => {
      tested.placeWithCallback({ ...prompt, id, writers }, ({ kind }) =>
        placed.push([`${id} ${kind}`, now]),
      );
    };
    place('returning', ['bound']);
    place('new');
    while (now < 2_000) {
      const next = timers.sort((a, b) => a.at - b.at).shift();
      if (next === undefined) break;
      now = next.at;
      next.action();
    }
    expect(placed).to.deep.equal([
      ['new placed', 10],
      ['returning placed', 1_000],
    ]);
  });
});

describe('placement during evacuations', () => {
  /** Guards against requests that wait until their callers leave for engines of an evacuated data centre. */
  it('refuses waiting and new requests at once where all engines are evacuated', () => {
    let now = 0;
    let isEvacuated = false;
    const allocator = new domain.allocation.allocator.Allocator();
    allocator.setServices([{ name: 's', healthPath: '/', maxConnections: 200, engine: ENGINE }]);
    allocator.setEvacuated(() => isEvacuated);
    const location = { service: 's', address: '10.0.0.1:80', dataCentre: 'east' };
    allocator.observe({ id: 't', ...location, bornAt: 1, slots: 1, state: 'ready', sequence: 1 });
    const timers: (() => void)[] = [];
    const tested = new placer.Placer({
      allocator,
      clock: { now: () => now, after: (_ms, action) => timers.push(action) },
      random: random.seeded(1),
      onRefused: ({ request: { id }, reason }) => results.push([now, id, reason]),
    });
    const results: unknown[] = [];
    const place = (id: string): void => {
      const prompt = { id, entry: 'e', service: 's', tokens: 1_000, answerTokens: 100 };
      const limits = { objectiveMs: 300, pauseMs: 250, waitedMs: 0, patienceMs: 2_000 };
      const request = { ...prompt, ...limits, dataCentre: 'east', excluded: [] };
      tested.placeWithCallback(request, (answer) => results.push([now, id, answer.kind]));
    };
    tested.open();
    ['running', 'waiting'].forEach(place);
    isEvacuated = true;
    now = 10;
    timers.shift()?.();
    place('new');
    expect(results).to.deep.equal([
      [0, 'running', 'placed'],
      [10, 'waiting', 'evacuated'],
      [10, 'waiting', 'noPlace'],
      [10, 'new', 'evacuated'],
      [10, 'new', 'noPlace'],
    ]);
    expect(timers).to.deep.equal([]);
  });
});

describe('placement of callers that compete', () => {
  const REQUEST = {
    ...{ entry: 'e', service: 's', excluded: [], tokens: 1_000, answerTokens: 100, waitedMs: 0 },
    ...{ objectiveMs: 300, pauseMs: 250, dataCentre: 'east', patienceMs: 600, content: 'same' },
  };

  /** Time after which a new leader knows the demand, milliseconds. */
  const OBSERVED_MS = 1_000;

  /** When each attempt of a request without a free engine is refused, and its Retry-After; first that of a new leader. */
  function refusalsOf(mode: placer.Mode): [number, number][] {
    const timers: { at: number; action: () => void }[] = [];
    const refusals: [number, number][] = [];
    let now = 0;
    const tested = new placer.Placer({
      allocator: fullFleet(),
      clock: { now: () => now, after: (ms, action) => timers.push({ at: now + ms, action }) },
      random: { uniform: () => 0 },
      onRefused: () => undefined,
      mode,
    });
    tested.open();
    const place = (content: string, at: number, leavesInMs: number): void => {
      const id = String(at);
      timers.push({
        at,
        action: () =>
          tested.placeWithCallback({ ...REQUEST, id, content, leavesInMs }, (answer) => {
            if (answer.kind !== 'noPlace') return;
            refusals.push([now - OBSERVED_MS, answer.retryAfterMs]);
          }),
      });
    };
    place('another', 0, 2_000);
    place('same', OBSERVED_MS, 2_000);
    place('same', OBSERVED_MS + 700, 1_300);
    while (timers.length > 0 && now < 3_000 + OBSERVED_MS) {
      const next = timers.sort((a, b) => a.at - b.at).shift();
      now = next?.at ?? now;
      next?.action();
    }
    return refusals;
  }

  /*
   * Guards against callers that wait for 600 ms although they can't be on time, and that are refused for good on their
   * return. It can be on time for as long as its prefill of 6 ms on an idle engine allows.
   */
  it('refuses a late request at once, and lets it wait until its caller leaves when it returns', () => {
    const [[newLeaderAt], [firstAt, retryAfterMs], [secondAt]] = refusalsOf('adaptive');
    // Guards against refusals by a leader that doesn't know all its targets yet.
    expect(newLeaderAt + OBSERVED_MS).to.be.within(600, 610);
    expect(firstAt).to.be.within(290, 310);
    expect(retryAfterMs).to.be.within(500, 570);
    expect(secondAt).to.be.within(1_900, 1_960);
  });

  /** Guards against a change of what callers get where the mode isn't set. */
  it('refuses after the usual wait in mode arrival', () => {
    expect(refusalsOf('arrival').map(([at, ms]) => [Math.round(at / 10), ms])).to.deep.equal([
      [-40, 600],
      [60, 600],
      [130, 600],
    ]);
  });

  /** Guards against a refusal while engines are idle, because others waited a moment ago. */
  it('places a late request at once where nothing waits any more', () => {
    let now = 0;
    const timers: (() => void)[] = [];
    const allocator = new domain.allocation.allocator.Allocator();
    allocator.setServices([{ name: 's', healthPath: '/', maxConnections: 200, engine: ENGINE }]);
    const location = { service: 's', address: '10.0.0.1:80', dataCentre: 'east' };
    allocator.observe({ id: 't', ...location, bornAt: 1, slots: 1, state: 'ready', sequence: 1 });
    const tested = new placer.Placer({
      allocator,
      clock: { now: () => now, after: (_ms, action) => timers.push(action) },
      random: random.seeded(1),
      onRefused: () => undefined,
      mode: 'adaptive',
    });
    tested.open();
    const answers: string[] = [];
    const place = (id: string, waitedMs: number): void => {
      const request = { ...REQUEST, id, waitedMs, content: id, leavesInMs: 1_000 };
      tested.placeWithCallback(request, ({ kind }) => answers.push(`${id} ${kind}`));
    };
    place('first', 0);
    place('second', 0);
    now = 20;
    allocator.endDispatch('first', 'done', now);
    timers.shift()?.();
    allocator.endDispatch('second', 'done', now);
    now = 30;
    place('late', 290);
    expect(answers).to.deep.equal(['first placed', 'second placed', 'late placed']);
  });
});
