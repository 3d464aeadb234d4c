/** Event queue with a virtual clock: a binary heap ordered by time, ties by insertion. */

interface Entry {
  at: number;
  order: number;
  action: () => void;
}

function isBefore(a: Entry, b: Entry): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

export class EventQueue {
  private readonly heap: Entry[] = [];

  private inserted = 0;

  now = 0;

  get size(): number {
    return this.heap.length;
  }

  /** Schedules an action; one in the past runs at the current time. */
  at(time: number, action: () => void): void {
    this.inserted += 1;
    this.heap.push({ at: Math.max(time, this.now), order: this.inserted, action });
    this.siftUp(this.heap.length - 1);
  }

  /** Advances the clock to the next event and runs it. */
  next(): void {
    const first = this.heap[0];
    const last = this.heap.pop();
    if (first === undefined || last === undefined) return;
    if (this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown(0);
    }
    this.now = first.at;
    first.action();
  }

  private siftUp(start: number): void {
    let child = start;
    while (child > 0) {
      const parent = Math.floor((child - 1) / 2);
      if (!isBefore(this.heap[child], this.heap[parent])) return;
      this.swap(child, parent);
      child = parent;
    }
  }

  private siftDown(start: number): void {
    let parent = start;
    for (;;) {
      const left = parent * 2 + 1;
      if (left >= this.heap.length) return;
      const right = left + 1;
      const rightFirst = right < this.heap.length && isBefore(this.heap[right], this.heap[left]);
      const child = rightFirst ? right : left;
      if (!isBefore(this.heap[child], this.heap[parent])) return;
      this.swap(child, parent);
      parent = child;
    }
  }

  private swap(a: number, b: number): void {
    const swapped = this.heap[a];
    this.heap[a] = this.heap[b];
    this.heap[b] = swapped;
  }
}
