/**
 * Batches the items for one address that are added within one event-loop turn. All logs of a VM tick
 * together, so their heartbeats share a frame, and many logs cost little more than one.
 */
export class Outbox<T> {
  private readonly pending = new Map<string, T[]>();

  constructor(private readonly send: (address: string, items: T[]) => void) {}

  add(address: string, item: T): void {
    if (this.pending.size === 0) setImmediate(() => this.flush());
    const items = this.pending.get(address);
    if (items === undefined) this.pending.set(address, [item]);
    else items.push(item);
  }

  private flush(): void {
    const batches = [...this.pending];
    this.pending.clear();
    batches.forEach(([address, items]) => this.send(address, items));
  }
}
