/**
 * Counts the bytes that a process holds for its callers: bodies, and responses that are buffered or not taken. Before they
 * reach their bound it gives up bodies that are still arriving and tells where to stop reading responses; when they reach
 * it all the same, it cuts callers that are slow to take theirs. Bytes in the buffers of the operating system aren't
 * counted.
 */
import * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import * as arrivingBodies from './arrivingBodies';

type CallerLoad = domain.pressure.pressure.CallerLoad;

export interface Dependencies {
  boundBytes: number;
  now: () => number;
  observer: Pick<observer.Observer, 'log' | 'count'>;
}

/** A caller's connection, as far as it holds bytes. */
export interface Connection {
  /** Id of its request. */
  request: string;
  /** Bytes of the response that it hasn't taken. */
  unsentBytes: () => number;
  /** Ends the caller's exchange. */
  cut: () => void;
}

/** Interval at which unsent bytes are counted and callers may be cut, milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Most time that counts for arriving bodies between two checks, milliseconds: a stalled process hasn't read them. */
const MAX_GROWTH_MS = 2 * CHECK_INTERVAL_MS;

/** Time constant of the rate at which a caller takes bytes, milliseconds. */
const RATE_TIME_MS = 1_000;

/** What is held for one caller. */
export class Holding {
  heldBytes = 0;

  private bodyBytes = 0;

  private bufferedBytes = 0;

  private unsentBytes = 0;

  private offeredBytes = 0;

  private takenBytes = 0;

  private takenPerSecond = 0;

  /** Since when the caller has had something to take; undefined while it waits for this process. */
  private behindSince: number | undefined;

  private arriving: arrivingBodies.ArrivingBody | undefined;

  constructor(
    private readonly owner: HeldBytes,
    readonly connection: Connection,
    private readonly now: () => number,
  ) {}

  get isUnderPressure(): boolean {
    return this.owner.isUnderPressure;
  }

  /** The caller begins to send its body, which may be given up. */
  bodyBegan({ times, giveUp }: arrivingBodies.Options): void {
    this.arriving = this.owner.bodies.begin({
      times,
      giveUp: (reason) => {
        this.arriving = undefined;
        this.releaseBody();
        giveUp(reason);
      },
    });
  }

  /** A part of the caller's body arrived, for which `bytes` were allocated. */
  bodyArrived(bytes: number): void {
    if (this.arriving === undefined) return;
    if (bytes === 0) {
      this.arriving.moved();
      return;
    }
    this.owner.bodies.arrived(this.arriving, bytes);
    this.bodyBytes += bytes;
    this.count();
    this.owner.makeRoom();
  }

  /** The body is whole. */
  bodyEnded(): void {
    if (this.arriving !== undefined) this.owner.bodies.end(this.arriving);
    this.arriving = undefined;
  }

  /** The body isn't held any more. */
  releaseBody(): void {
    this.bodyEnded();
    this.bodyBytes = 0;
    this.count();
  }

  /** Sets how much of a response is buffered until it is complete. */
  setBuffered(bytes: number): void {
    this.bufferedBytes = bytes;
    this.count();
  }

  /** Bytes of the response were passed on to the caller's connection. */
  offered(bytes: number): void {
    this.offeredBytes += bytes;
    this.count();
  }

  /** Brings the unsent bytes and the caller's rate up to date; `sinceMs` is the time since the last call. */
  refresh(sinceMs: number): void {
    const takenBefore = this.takenBytes;
    this.count();
    this.takenBytes = this.offeredBytes - this.unsentBytes;
    const rate = ((this.takenBytes - takenBefore) / Math.max(1, sinceMs)) * 1_000;
    this.takenPerSecond += (1 - Math.exp(-sinceMs / RATE_TIME_MS)) * (rate - this.takenPerSecond);
    if (this.unsentBytes === 0) this.behindSince = undefined;
    else this.behindSince ??= this.now();
  }

  load(): CallerLoad & { holding: Holding } {
    const { heldBytes, unsentBytes, takenPerSecond, behindSince } = this;
    const behindMs = behindSince === undefined ? 0 : this.now() - behindSince;
    return { holding: this, heldBytes, unsentBytes, takenPerSecond, behindMs };
  }

  close(): void {
    this.bodyEnded();
    this.owner.forget(this);
  }

  private count(): void {
    this.unsentBytes = this.connection.unsentBytes();
    const before = this.heldBytes;
    this.heldBytes = this.bodyBytes + this.bufferedBytes + this.unsentBytes;
    this.owner.changed(this, this.heldBytes - before);
  }
}

export class HeldBytes {
  /** In the order of arrival. */
  private readonly holdings = new Set<Holding>();

  private totalBytes = 0;

  private stoppedAt: number | undefined;

  private checkedAt = 0;

  private timer: NodeJS.Timeout | undefined;

  readonly bodies: arrivingBodies.ArrivingBodies;

  constructor(private readonly dependencies: Dependencies) {
    this.bodies = new arrivingBodies.ArrivingBodies(dependencies.now);
  }

  get total(): number {
    return this.totalBytes;
  }

  /** Whether reading stops where it adds to what is held. */
  get isUnderPressure(): boolean {
    return this.stoppedAt !== undefined;
  }

  open(connection: Connection): Holding {
    const holding = new Holding(this, connection, this.dependencies.now);
    this.holdings.add(holding);
    this.startChecks();
    return holding;
  }

  forget(holding: Holding): void {
    if (!this.holdings.delete(holding)) return;
    this.totalBytes -= holding.heldBytes;
    this.noticePressure();
  }

  changed(holding: Holding, bytes: number): void {
    if (this.holdings.has(holding)) this.totalBytes += bytes;
  }

  /** Gives up bodies that are still arriving, if too much is held. */
  makeRoom(): void {
    this.bodies.makeRoom(this.held);
    this.noticePressure();
  }

  close(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private startChecks(): void {
    if (this.timer !== undefined) return;
    this.checkedAt = this.dependencies.now();
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  private noticePressure(): void {
    const mustStop = domain.pressure.pressure.mustStopReading(this.held, this.isUnderPressure);
    if (mustStop) this.stoppedAt ??= this.dependencies.now();
    else this.stoppedAt = undefined;
  }

  private get held(): domain.pressure.pressure.Held {
    return { totalBytes: this.totalBytes, boundBytes: this.dependencies.boundBytes };
  }

  /** Counts what callers have taken, and cuts those that hold too much; called several times a second. */
  check(): void {
    const { now, observer: observe } = this.dependencies;
    if (this.holdings.size === 0) this.close();
    const sinceMs = now() - this.checkedAt;
    this.checkedAt = now();
    this.holdings.forEach((holding) => holding.refresh(sinceMs));
    this.bodies.grow(Math.min(sinceMs, MAX_GROWTH_MS));
    this.makeRoom();
    const stoppedMs = this.stoppedAt === undefined ? 0 : now() - this.stoppedAt;
    const loads = this.isUnderPressure ? [...this.holdings].map((each) => each.load()) : [];
    domain.pressure.pressure.callersToCut(loads, this.held, stoppedMs).forEach((load) => {
      const { holding, heldBytes, unsentBytes } = load;
      const lagMs = Math.round(domain.pressure.pressure.lagMs(load));
      const { request } = holding.connection;
      observe.log('callerCut', { request, heldBytes, unsentBytes, lagMs, total: this.totalBytes });
      observe.count('answers.aborted.callerTooSlow');
      holding.connection.cut();
      holding.close();
    });
  }
}
