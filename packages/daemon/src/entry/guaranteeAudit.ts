/**
 * Compares the guarantees that this entry gave with what targets say afterwards. A response to a request that was refused
 * as not run, and that says that it ran, shows a broken guarantee before a caller reports it.
 */
import type * as observer from '../observability/observer';
import type * as targetMessage from './targetMessage';

/** How long a refused request is remembered, milliseconds: late responses come within seconds. */
const MEMORY_MS = 30_000;

/** Maximum number of refused requests that are remembered; the oldest are forgotten first. */
const MAX_REQUESTS = 2_000;

export interface Dependencies {
  observer: Pick<observer.Observer, 'log' | 'count'>;
  now: () => number;
}

export class GuaranteeAudit {
  /** When each request was refused, oldest first. */
  private readonly refusedAt = new Map<string, number>();

  constructor(private readonly dependencies: Dependencies) {}

  /** This entry guaranteed that a request did not run. */
  refused(request: string): void {
    if (request === '') return;
    this.refusedAt.delete(request);
    this.refusedAt.set(request, this.dependencies.now());
    const [oldest] = this.refusedAt.keys();
    if (this.refusedAt.size > MAX_REQUESTS) this.refusedAt.delete(oldest);
  }

  /** A request arrives; under an id that was refused before it may run. */
  received(request: string): void {
    this.refusedAt.delete(request);
  }

  /** A target sent a response that none of its requests in progress waited for. */
  check(target: string, { status, facts }: targetMessage.ResponseHead): void {
    const { requestId: request = '', isNotRun, isSigned } = facts;
    const { observer: observe, now } = this.dependencies;
    const at = this.refusedAt.get(request);
    if (at === undefined || isNotRun || !isSigned || now() - at > MEMORY_MS) return;
    observe.count('guarantees.contradicted');
    const refusedMsAgo = Math.round(now() - at);
    observe.log('guaranteeContradicted', { request, target, status, refusedMsAgo });
  }
}
