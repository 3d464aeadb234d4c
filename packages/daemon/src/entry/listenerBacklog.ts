/**
 * Notices connections that wait in a listener's queue. Node accepts one connection in each turn of the event loop, so the
 * queue is empty as soon as a turn passes without one. The queue can't be looked at, and neither can the time for which a
 * connection has waited in it. A few connections aren't a queue: they may arrive within a few turns, if these are long.
 */

/** Fewest connections accepted one after the other that count as a queue. */
const MIN_CONNECTIONS = 8;

export class ListenerBacklog {
  /** When the first connection was accepted since the queue was last empty. */
  private since: number | undefined;

  /** Connections accepted since then. */
  private count = 0;

  /** Whether a connection was accepted in the present turn. */
  private hasAccepted = false;

  constructor(private readonly now: () => number) {}

  /** How long the queue hasn't been empty, milliseconds. */
  get durationMs(): number {
    return this.since === undefined || this.count < MIN_CONNECTIONS ? 0 : this.now() - this.since;
  }

  /** Called for each accepted connection. */
  accepted(): void {
    this.hasAccepted = true;
    this.count += 1;
    if (this.since !== undefined) return;
    this.since = this.now();
    this.awaitNextTurn();
  }

  private awaitNextTurn(): void {
    setImmediate(() => {
      if (!this.hasAccepted) {
        this.since = undefined;
        this.count = 0;
        return;
      }
      this.hasAccepted = false;
      this.awaitNextTurn();
    });
  }
}
