/**
 * Reports clients that are turned away because of what they take, not of what they ask for. They may be thousands a second,
 * so one line a second counts them.
 */
import type * as observer from '../observability/observer';
import type * as arrivingBodies from './arrivingBodies';

/**
 * A body that is given up (see `arrivingBodies`), a connection that makes room for another one, or one with too many
 * requests behind each other.
 */
export type Reason = arrivingBodies.Reason | 'connections' | 'pipelined';

/** Longest time until clients are reported, milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** Maximum number of request ids that a line names, and of characters of each: clients choose them. */
const MAX_NAMED = 8;
const MAX_NAME_LENGTH = 64;

export class TurnedAwayClients {
  private counts: Partial<Record<Reason, number>> = {};

  private requests: string[] = [];

  private timer: NodeJS.Timeout | undefined;

  constructor(
    /** Name of the listener, as in the settings. */
    private readonly listener: string,
    private readonly observe: Pick<observer.Observer, 'log' | 'count'>,
  ) {}

  /** `request` is the id that the client gave its request, if it gave one. */
  add(reason: Reason, request = ''): void {
    this.observe.count(`clients.turnedAway.${this.listener}.${reason}`);
    this.counts[reason] = (this.counts[reason] ?? 0) + 1;
    if (request !== '' && this.requests.length < MAX_NAMED)
      this.requests.push(request.slice(0, MAX_NAME_LENGTH));
    if (this.timer !== undefined) return;
    this.timer = setTimeout(() => this.report(), REPORT_INTERVAL_MS);
    this.timer.unref();
  }

  private report(): void {
    const { listener, counts, requests } = this;
    this.timer = undefined;
    this.counts = {};
    this.requests = [];
    this.observe.log('clientsTurnedAway', { listener, ...counts, requests });
  }
}
