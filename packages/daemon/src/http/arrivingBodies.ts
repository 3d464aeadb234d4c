/**
 * The request bodies that a process is receiving: gives up those that take too long, and some of them while they take
 * too much memory together.
 */
import * as domain from '@celerydrift/domain';

type BodyTimes = domain.pressure.incompleteBodies.BodyTimes;
type Held = domain.pressure.pressure.Held;
type IncompleteBody = domain.pressure.incompleteBodies.IncompleteBody;

export type Reason = domain.pressure.incompleteBodies.Reason;

export interface Options {
  /** How long the body may take; without limits if undefined. */
  times: BodyTimes | undefined;
  /** Called once if the body is given up. */
  giveUp: (reason: Reason) => void;
}

/** Length of the spans in which the arriving bytes are counted, milliseconds. */
const SPAN_MS = 250;

/** Least time between two choices of bodies to give up, milliseconds: each looks at all of them. */
const CHOICE_INTERVAL_MS = 10;

const UNLIMITED: BodyTimes = { totalMs: Infinity, silentMs: Infinity };

/** Time counts as it is passed to `grow`, so that a process that was stalled doesn't hold that against a body. */
export class ArrivingBody implements IncompleteBody {
  heldBytes = 0;

  ageMs = 0;

  silentMs = 0;

  /** Bytes of the span before this one, and of this one. */
  private formerBytes = 0;

  private spanBytes = 0;

  private spanMs = 0;

  constructor(readonly options: Options) {}

  get bytesPerSecond(): number {
    return ((this.formerBytes + this.spanBytes) / (SPAN_MS + this.spanMs)) * 1_000;
  }

  /** More memory was allocated for the body. */
  arrived(bytes: number): void {
    this.heldBytes += bytes;
    this.spanBytes += bytes;
    this.moved();
  }

  /** A part arrived that needed no more memory. */
  moved(): void {
    this.silentMs = 0;
  }

  grow(ms: number): void {
    this.ageMs += ms;
    this.silentMs += ms;
    this.spanMs += ms;
    if (this.spanMs < SPAN_MS) return;
    this.formerBytes = this.spanBytes;
    this.spanBytes = 0;
    this.spanMs = 0;
  }
}

export class ArrivingBodies {
  private readonly bodies = new Set<ArrivingBody>();

  private bodyBytes = 0;

  private chosenAt = -Infinity;

  constructor(private readonly now: () => number) {}

  get size(): number {
    return this.bodies.size;
  }

  begin(options: Options): ArrivingBody {
    const body = new ArrivingBody(options);
    this.bodies.add(body);
    return body;
  }

  arrived(body: ArrivingBody, bytes: number): void {
    if (!this.bodies.has(body)) return;
    body.arrived(bytes);
    this.bodyBytes += bytes;
  }

  /** The body is whole, or nobody waits for it any more. */
  end(body: ArrivingBody): void {
    if (this.bodies.delete(body)) this.bodyBytes -= body.heldBytes;
  }

  /** Gives bodies up while they take too much. */
  makeRoom(held: Held): void {
    const { incompleteBodies } = domain.pressure;
    if (!incompleteBodies.areCrowded(this.bodyBytes, held)) return;
    if (this.now() - this.chosenAt < CHOICE_INTERVAL_MS) return;
    this.chosenAt = this.now();
    const chosen = incompleteBodies.bodiesToGiveUp([...this.bodies], held);
    chosen.forEach((body) => this.giveUp(body, 'memory'));
  }

  /** Gives up the bodies that are overdue after another `ms`. */
  grow(ms: number): void {
    this.bodies.forEach((body) => {
      body.grow(ms);
      const { times = UNLIMITED } = body.options;
      const reason = domain.pressure.incompleteBodies.overdue(body, times);
      if (reason !== undefined) this.giveUp(body, reason);
    });
  }

  private giveUp(body: ArrivingBody, reason: Reason): void {
    this.end(body);
    body.options.giveUp(reason);
  }
}
