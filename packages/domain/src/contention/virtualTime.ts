/**
 * Bookkeeping of start-time fair queueing (Goyal, Vin, Cheng, 1996): the virtual time, and for each flow the virtual
 * time at which its share allows the next request to start.
 */
export class VirtualTime {
  private readonly finish = new Map<string, number>();

  private current = 0;

  /** Whether no flow is charged for earlier requests. */
  get isClear(): boolean {
    return this.finish.size === 0;
  }

  /** Virtual time at which the flow's next request may start. */
  startOf(flow: string): number {
    return Math.max(this.current, this.finish.get(flow) ?? 0);
  }

  /** Adds a request of the flow that starts at `start`; `cost` is its work divided by the flow's weight. */
  charge(flow: string, start: number, cost: number): void {
    this.finish.set(flow, start + cost);
  }

  /** Advances the virtual time to that of a request that is served. */
  advance(start: number): void {
    this.current = Math.max(this.current, start);
  }

  /** Forgets what the flows were served; for the time when nothing waits. */
  clear(): void {
    this.finish.clear();
  }
}
