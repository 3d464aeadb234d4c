/**
 * Logs responses that were given up before their end. A target may send many of them, so the lines of each target are
 * limited; a metric counts every response.
 */
import type * as observer from '../observability/observer';
import type * as targetMessage from './targetMessage';

export interface Dependencies {
  observer: Pick<observer.Observer, 'log' | 'count'>;
  now: () => number;
}

/** Minimum time between two lines of a target, milliseconds. */
const LINE_INTERVAL_MS = 1_000;

/** The last line of a target. */
interface Line {
  at: number;
  /** Responses without a line since then. */
  omitted: number;
}

export class UnusableResponses {
  private readonly lines = new Map<string, Line>();

  constructor(private readonly dependencies: Dependencies) {}

  report(
    { requestId: request, target, purpose }: targetMessage.TargetMessage,
    detail: string,
  ): void {
    const { observer: observe, now } = this.dependencies;
    observe.count(`responses.unusable.${purpose}`);
    const last = this.lines.get(target);
    if (last !== undefined && now() - last.at < LINE_INTERVAL_MS) {
      last.omitted += 1;
      return;
    }
    this.lines.set(target, { at: now(), omitted: 0 });
    observe.log('responseGivenUp', { request, target, purpose, detail, omitted: last?.omitted });
  }

  forget(target: string): void {
    this.lines.delete(target);
  }
}
