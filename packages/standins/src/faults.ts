/**
 * Fault injection for the stand-ins, controlled over HTTP. A fault applies to the next `count`
 * requests, except `die` and `silent`, which take effect immediately.
 *
 * - `die`: the process exits.
 * - `silent`: open connections stop carrying data but stay open; new connections work.
 * - `late`: the answer is delayed by `delayMs`.
 * - `cross`: frames carry the id of another request.
 * - `cut`: the stream ends without its terminal frame.
 * - `refuse`: responds with 503 and reports that the request was not run.
 *
 * The plain service implements `die`, `late`, `cut` and `refuse` only.
 */
export type Kind = 'die' | 'silent' | 'late' | 'cross' | 'cut' | 'refuse';

export interface Fault {
  kind: Kind;
  /** Number of requests that it still applies to. */
  count: number;
  delayMs: number;
}

export class FaultInjector {
  private active: Fault[] = [];

  inject(fault: Fault): void {
    this.active.push(fault);
  }

  clear(): void {
    this.active = [];
  }

  /** Uses up one occurrence of an active fault of this kind; undefined if there is none. */
  consume(kind: Kind): Fault | undefined {
    const fault = this.active.find((each) => each.kind === kind && each.count > 0);
    if (fault !== undefined) fault.count -= 1;
    return fault;
  }
}
