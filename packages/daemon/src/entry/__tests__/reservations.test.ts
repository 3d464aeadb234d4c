/** For how long memory on helpers is renewed while the engine that uses it is heard from, and while it is not. */
import * as mockTimers from 'node:test';
import * as chai from 'chai';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import * as reservations from '../reservations';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

/** Memory must be free this long after the last request that used it has ended, milliseconds. */
const FREE_MS = 4_000;

/** How long calls to the helper and to the engine take, milliseconds. */
const LATENCY_MS = 5;

const STEP_MS = 25;

/** A helper that keeps reservations under a lease, and an engine that uses them, on a clock that the test advances. */
class Simulation {
  /** When the helper's lease ends; it begins with the reservation. */
  leaseEnd = 0;

  /** Whether the lease ended since the reservation. */
  wasInterrupted = false;

  renewals = 0;

  probes = 0;

  /** Intervals in which the engine neither sends events nor answers probes. */
  silences: [number, number][] = [];

  /** Interval between the events that the engine sends; 0 for none. */
  eventIntervalMs = 0;

  private now = 1_000;

  private lastEventAt = 0;

  private isRunning = false;

  readonly memory = new reservations.Reservations('r', {
    protocol: {
      ...harness.PROTOCOL,
      reserve: (_target, _id, _tokens, leaseMs) => order(`reserve ${leaseMs}`),
      release: () => order('release'),
    },
    targets: {
      call: (_recipient: unknown, { body }: { body: string }) => this.onOrder(body),
    } as unknown as reservations.Dependencies['targets'],
    limits: { spent: () => undefined },
    signals: { backOffMs: () => this.backOffMs, bornAt: () => 1 },
    observer: new observer.Observer('test', 'fatal', undefined),
    now: () => this.now,
  });

  constructor(private readonly backOffMs = 0) {}

  get elapsedMs(): number {
    return this.now - 1_000;
  }

  get isHeld(): boolean {
    return this.now < this.leaseEnd;
  }

  /** Reserves memory and sends the request that uses it. */
  async begin(): Promise<void> {
    const isReserved = this.memory.reserveAll([{ target: 'h', address: 'h', keptTokens: 9 }]);
    await this.advance(4 * STEP_MS);
    expect(await isReserved).to.equal(true);
    this.isRunning = true;
    this.renewals = 0;
    this.memory.renewFor({
      lastHeardAt: () => this.lastEventAt,
      isResponsive: () => this.onProbe(),
    });
  }

  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.now += STEP_MS;
      const isDue = this.eventIntervalMs > 0 && this.now - this.lastEventAt >= this.eventIntervalMs;
      if (this.isRunning && isDue && !this.isSilent) this.lastEventAt = this.now;
      if (this.isRunning && !this.isHeld) this.wasInterrupted = true;
      mockTimers.mock.timers.tick(STEP_MS);
      await turns(8);
    }
  }

  /** Milliseconds from a time until the helper's memory is free, which it must become within ten seconds. */
  async heldAfter(since: number): Promise<number> {
    for (let i = 0; i < 10_000 && this.isHeld; i += STEP_MS) await this.advance(STEP_MS);
    return this.elapsedMs - since;
  }

  private get isSilent(): boolean {
    return this.silences.some(([from, to]) => this.elapsedMs >= from && this.elapsedMs < to);
  }

  private async onProbe(): Promise<boolean> {
    this.probes += 1;
    if (this.isSilent) {
      await clock.sleep(300);
      return false;
    }
    await clock.sleep(LATENCY_MS);
    return true;
  }

  private async onOrder(body: string): Promise<object> {
    const [operation, leaseMs] = body.split(' ');
    if (operation === 'release') this.leaseEnd = this.now;
    else {
      this.renewals += 1;
      this.leaseEnd = this.now + Number(leaseMs);
    }
    await clock.sleep(LATENCY_MS);
    return { kind: 'answered', status: 200, facts: harness.PROTOCOL.responseMetadata(200, {}) };
  }
}

/** Waits for turns of the event loop, in which calls that are due end. */
async function turns(count: number): Promise<void> {
  for (let i = 0; i < count; i++) {
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
  }
}

function order(body: string): ReturnType<typeof harness.PROTOCOL.release> {
  return { method: 'POST', path: '/', headers: [], body };
}

describe('reservations', () => {
  beforeEach(() => mockTimers.mock.timers.enable({ apis: ['setTimeout', 'setInterval'] }));

  afterEach(() => mockTimers.mock.timers.reset());

  /*
   * Guards against memory that stays set aside after its request: the engine went dark while it read a long prompt, whose
   * response is awaited for longer than the memory may be held.
   */
  it('lapse in time whenever their engine goes dark before its first event', async () => {
    const held = [];
    for (let darkAt = 200; darkAt <= 2_600; darkAt += 150) {
      const simulation = new Simulation();
      simulation.silences = [[darkAt, Infinity]];
      await simulation.begin();
      held.push(await simulation.heldAfter(darkAt));
    }
    expect(Math.max(...held)).to.be.lessThan(FREE_MS);
  });

  // The same failure between two events of a stream.
  it('lapse in time if their engine goes dark in the middle of a stream', async () => {
    const simulation = new Simulation();
    simulation.eventIntervalMs = 100;
    simulation.silences = [[5_250, Infinity]];
    await simulation.begin();
    await simulation.advance(5_150);
    expect(simulation.isHeld).to.equal(true);
    expect(await simulation.heldAfter(5_250)).to.be.lessThan(FREE_MS);
  });

  // The same failure with a helper that asked for a back-off: its lease covers that, so it doesn't lapse by itself.
  it('are released in time from a helper in back-off whose engine goes dark', async () => {
    const simulation = new Simulation(8_000);
    simulation.silences = [[500, Infinity]];
    await simulation.begin();
    expect(await simulation.heldAfter(500)).to.be.lessThan(FREE_MS);
  });

  /** Guards against a request that is cut off because its memory expired while its engine was reading its prompt. */
  it('are kept while their engine reads a prompt for many seconds and answers probes', async () => {
    const simulation = new Simulation();
    await simulation.begin();
    await simulation.advance(12_000);
    expect([simulation.wasInterrupted, simulation.isHeld]).to.deep.equal([false, true]);
    expect(simulation.probes).to.be.within(10, 13);
  });

  /** Guards against a request that is cut off because its sound engine fell silent for a moment. */
  it('are kept through a silence of two seconds', async () => {
    for (let from = 200; from <= 2_600; from += 150) {
      const simulation = new Simulation();
      simulation.silences = [[from, from + 2_000]];
      await simulation.begin();
      await simulation.advance(8_000);
      expect([from, simulation.wasInterrupted]).to.deep.equal([from, false]);
      simulation.memory.release();
    }
  });

  /** Guards against probes of engines whose events show already that they are alive. */
  it('are renewed without probes while events arrive', async () => {
    const simulation = new Simulation();
    simulation.eventIntervalMs = 100;
    await simulation.begin();
    await simulation.advance(6_000);
    expect([simulation.wasInterrupted, simulation.probes]).to.deep.equal([false, 0]);
    expect(simulation.renewals).to.be.within(5, 6);
  });

  /** Guards against memory that is reserved anew for a request that was cut off when its reservations had expired. */
  it('are not made again if their engine is heard from after they expired', async () => {
    const simulation = new Simulation();
    simulation.silences = [[200, 6_000]];
    await simulation.begin();
    await simulation.advance(9_000);
    expect([simulation.renewals, simulation.isHeld]).to.deep.equal([0, false]);
  });
});
