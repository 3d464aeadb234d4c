/**
 * Fault switches of the stand-ins, set over HTTP. Each applies to the next `count` requests.
 *
 * - `die`: the process ends at once.
 * - `silent`: open connections carry nothing any more; new ones work.
 * - `late`: the answer starts `delayMs` later.
 * - `cross`: frames carry another request's id.
 * - `cut`: the stream ends without its terminal frame.
 * - `refuse`: answers 503 and says that the request was not run.
 */
export type Kind = 'die' | 'silent' | 'late' | 'cross' | 'cut' | 'refuse';

export interface Fault {
  kind: Kind;
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

  /** Takes one use of a fault of this kind, if one is set. */
  consume(kind: Kind): Fault | undefined {
    const fault = this.active.find((each) => each.kind === kind && each.count > 0);
    if (fault !== undefined) fault.count -= 1;
    return fault;
  }
}
