/**
 * Checks messages between daemons where they are received. A peer may run another version or have a fault; a message of
 * the wrong shape fails like a call that got no answer, instead of raising an error wherever it is first read.
 */
import type * as t from 'io-ts';
import type * as observer from '../observability/observer';

/** Shapes of the parameters and the answers, by method; a method without one isn't checked. */
export interface Shapes {
  requests: ReadonlyMap<string, t.Mixed>;
  answers: ReadonlyMap<string, t.Mixed>;
}

export const UNCHECKED: Shapes = { requests: new Map(), answers: new Map() };

/** Peers and methods of which a line was logged; more are only counted. */
const MAX_LOGGED = 200;

export class MessageChecks {
  private readonly logged = new Set<string>();

  constructor(
    private readonly shapes: ReadonlyMap<string, t.Mixed>,
    private readonly kind: 'request' | 'answer',
    private readonly observer: Pick<observer.Observer, 'log' | 'count'>,
  ) {}

  /** Whether a message has the shape of its method; the first of a peer and method that hasn't is logged. */
  isUsable(method: string, peer: string, value: unknown): boolean {
    const shape = this.shapes.get(method);
    if (shape === undefined || shape.is(value)) return true;
    this.observer.count(`rpc.malformed.${this.kind}.${method}`);
    const key = `${method} ${peer}`;
    if (this.logged.has(key) || this.logged.size >= MAX_LOGGED) return false;
    this.logged.add(key);
    this.observer.log('messageMalformed', { kind: this.kind, method, peer });
    return false;
  }
}
