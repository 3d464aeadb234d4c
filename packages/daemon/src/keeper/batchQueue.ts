/**
 * Queue that runs a small batch of work in each turn of the event loop. A burst of hundreds of prompts arrives in one
 * turn; handled at once, it delayed a leader's heartbeats, the quorum's answers and its followers' polls by half a
 * second, so that the leader was taken for dead.
 */

/** Number of work items per turn; the most expensive batch takes some 10 ms. */
const BATCH_SIZE = 4;

export class BatchQueue {
  private readonly queue: (() => void)[] = [];

  private isRunning = false;

  /** Queues `work`; items run in the order in which they were queued. */
  run<T>(work: () => T | Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      this.queue.push(() => {
        Promise.resolve().then(work).then(resolve, reject);
      });
      if (this.isRunning) return;
      this.isRunning = true;
      setImmediate(() => this.runBatch());
    });
  }

  private runBatch(): void {
    this.queue.splice(0, BATCH_SIZE).forEach((work) => work());
    if (this.queue.length > 0) setImmediate(() => this.runBatch());
    else this.isRunning = false;
  }
}
