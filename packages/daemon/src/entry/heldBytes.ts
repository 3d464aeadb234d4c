/**
 * Counts the bytes that an entry holds for its callers, stops reading before they reach their bound, and cuts callers
 * when they reach it all the same. Bytes in the buffers of the operating system aren't counted.
 */
import * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';

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
  pauseBody: () => void;
  resumeBody: () => void;
}

/** Interval at which unsent bytes are counted and callers may be cut, milliseconds. */
const CHECK_INTERVAL_MS = 100;

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

  /** Since when the caller has had something to do; undefined while it waits for this process. */
  private behindSince: number | undefined;

  private isReadingBody = false;

  private isBodyPaused = false;

  constructor(
    private readonly owner: HeldBytes,
    readonly connection: Connection,
    private readonly now: () => number,
  ) {}

  get isUnderPressure(): boolean {
    return this.owner.isUnderPressure;
  }

  /** Part of the caller's body arrived. */
  bodyArrived(bytes: number): void {
    this.isReadingBody = true;
    // A body that keeps arriving isn't behind, however long it takes.
    this.behindSince = this.now();
    this.bodyBytes += bytes;
    this.count();
    this.owner.steerBodies();
  }

  bodyEnded(): void {
    this.isReadingBody = false;
    this.behindSince = undefined;
    this.owner.steerBodies();
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
    if (this.isReadingBody) return;
    if (this.unsentBytes === 0) this.behindSince = undefined;
    else this.behindSince ??= this.now();
  }

  load(): CallerLoad & { holding: Holding } {
    const { heldBytes, unsentBytes, takenPerSecond, behindSince } = this;
    const isWaiting = behindSince === undefined || this.isBodyPaused;
    const behindMs = isWaiting ? 0 : this.now() - behindSince;
    return { holding: this, heldBytes, unsentBytes, takenPerSecond, behindMs };
  }

  get isBodyIncomplete(): boolean {
    return this.isReadingBody;
  }

  /** Stops or continues to read the body; a pause of this process isn't counted against the caller. */
  steerBody(isPaused: boolean): void {
    if (!this.isReadingBody || isPaused === this.isBodyPaused) return;
    this.isBodyPaused = isPaused;
    if (isPaused) {
      this.connection.pauseBody();
      return;
    }
    this.behindSince = this.now();
    this.connection.resumeBody();
  }

  close(): void {
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

  private checkedAt: number;

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly dependencies: Dependencies) {
    this.checkedAt = dependencies.now();
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
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
    return holding;
  }

  forget(holding: Holding): void {
    if (!this.holdings.delete(holding)) return;
    this.totalBytes -= holding.heldBytes;
    this.steerBodies();
  }

  changed(holding: Holding, bytes: number): void {
    if (this.holdings.has(holding)) this.totalBytes += bytes;
  }

  /**
   * Stops or continues to read callers' bodies. The body that began first is always read: if all were stopped, none
   * would be complete, and nothing that is held for them would ever be released.
   */
  steerBodies(): void {
    const { now } = this.dependencies;
    const wasStopped = this.isUnderPressure;
    const isStopped = domain.pressure.pressure.mustStopReading(this.held, wasStopped);
    if (isStopped) this.stoppedAt ??= now();
    else this.stoppedAt = undefined;
    if (!isStopped && !wasStopped) return;
    const incomplete = [...this.holdings].filter(({ isBodyIncomplete }) => isBodyIncomplete);
    incomplete.forEach((holding, i) => holding.steerBody(isStopped && i > 0));
  }

  close(): void {
    clearInterval(this.timer);
  }

  private get held(): domain.pressure.pressure.Held {
    return { totalBytes: this.totalBytes, boundBytes: this.dependencies.boundBytes };
  }

  /** Counts what callers have taken, and cuts those that hold too much; called several times a second. */
  check(): void {
    const { now, observer: observe } = this.dependencies;
    const sinceMs = now() - this.checkedAt;
    this.checkedAt = now();
    this.holdings.forEach((holding) => holding.refresh(sinceMs));
    this.steerBodies();
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
