/**
 * Adaptive limit on the requests that a process serves at the same time. The load that it answers
 * is several times what the process can bear, for some seconds: most new connections of a data
 * centre arrive at one VM. Without a limit connections wait in the listener's queue until their
 * callers have left; the process then serves those, and nobody gets an answer in time.
 *
 * A process isn't told its share of the processor. It is overloaded if its listener's queue isn't
 * empty for a while, or if its event loop is delayed; the limit then begins below the present number
 * of requests. From then on it follows the utilisation of the event loop: queue and delay no longer
 * show the load once excess connections are refused. A limit on requests in progress, unlike one on
 * arrivals, also bounds the work to come: most of a stream's work follows after its admission.
 */

/** What a process noticed of its own load in one interval. */
export interface LoadSample {
  /** How long the listener's queue hasn't been empty, milliseconds. */
  backlogMs: number;
  /** Delay of the event loop, milliseconds. */
  delayMs: number;
  /** Share of the interval in which the event loop wasn't idle. */
  utilisation: number;
  /** Requests in progress, and connections that are about to bring one. */
  active: number;
}

/**
 * Wait in the listener's queue, and mean delay of the event loop, from which on a process is
 * overloaded, milliseconds. A request takes some five turns of the loop before its first event, and
 * short objectives are 200 to 300 ms.
 */
const MAX_BACKLOG_MS = 150;
const MAX_DELAY_MS = 40;

/** Time constant of the mean delay, milliseconds. */
const DELAY_TIME_MS = 200;

/** Utilisation above which the limit falls, and below which it rises. */
const HIGH_UTILISATION = 0.85;
const LOW_UTILISATION = 0.75;

/** Interval between two changes of the limit, milliseconds: the time in which one shows its effect. */
const CHANGE_INTERVAL_MS = 200;
const REDUCTION = 0.85;
const RISE = 1.1;

/** The smallest limit: a few long streams must not keep everybody else out. */
const MIN_LIMIT = 8;

/** New requests are accepted again below this share of the limit. */
const ROOM_SHARE = 0.9;

/** The limit ends when it has not been reached for this long, milliseconds. */
const RELEASE_MS = 2_000;

/** How a sample changed the limit. */
export type Change = 'began' | 'ended' | 'none';

export class ConcurrencyLimit {
  private limit = Infinity;

  private meanDelay = 0;

  private lastDelayMs = 0;

  private utilisation = 0;

  private sampledAt: number | undefined;

  private changedAt = -Infinity;

  private reachedAt = -Infinity;

  /** The present limit; infinite where there is none. */
  get value(): number {
    return this.limit;
  }

  get isLimited(): boolean {
    return this.limit < Infinity;
  }

  /** Whether new requests are refused: there are too many, or they wait too long to be accepted. */
  isExceeded({ active, backlogMs }: Pick<LoadSample, 'active' | 'backlogMs'>): boolean {
    return active >= this.limit || (this.isLimited && backlogMs > MAX_BACKLOG_MS);
  }

  /** Whether new requests are accepted again after they were refused. The limit rises while there is no room. */
  hasRoom(active: number): boolean {
    return active < ROOM_SHARE * this.limit;
  }

  /** Mean delay of the event loop, milliseconds. */
  get meanDelayMs(): number {
    return this.meanDelay;
  }

  sample(load: LoadSample, now: number): Change {
    const sinceMs = now - (this.sampledAt ?? now);
    this.sampledAt = now;
    this.average(load, sinceMs);
    if (!this.isLimited) return this.beginIfOverloaded(load, now);
    if (this.isExceeded(load)) this.reachedAt = now;
    if (now - this.reachedAt >= RELEASE_MS) {
      this.limit = Infinity;
      return 'ended';
    }
    this.adapt(load, now);
    return 'none';
  }

  private average({ delayMs, utilisation }: LoadSample, sinceMs: number): void {
    // A single long delay is a collection of garbage, or a freeze of the VM, and not a load.
    const lastingMs = Math.min(delayMs, this.lastDelayMs);
    this.lastDelayMs = delayMs;
    const weight = 1 - Math.exp(-sinceMs / DELAY_TIME_MS);
    this.meanDelay += weight * (lastingMs - this.meanDelay);
    this.utilisation += weight * (utilisation - this.utilisation);
  }

  private beginIfOverloaded({ backlogMs, active }: LoadSample, now: number): Change {
    if (backlogMs <= MAX_BACKLOG_MS && this.meanDelay <= MAX_DELAY_MS) return 'none';
    this.reachedAt = now;
    this.set(REDUCTION * active, now);
    return 'began';
  }

  private adapt({ active }: LoadSample, now: number): void {
    if (now - this.changedAt < CHANGE_INTERVAL_MS) return;
    if (this.utilisation > HIGH_UTILISATION)
      this.set(REDUCTION * Math.min(this.limit, active), now);
    else if (this.utilisation < LOW_UTILISATION && !this.hasRoom(active))
      // The process bears what is in progress, which may be far above a limit that began when little was.
      this.set(RISE * Math.max(this.limit, active), now);
  }

  private set(limit: number, now: number): void {
    this.limit = Math.max(MIN_LIMIT, limit);
    this.changedAt = now;
  }
}
