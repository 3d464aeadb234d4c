/**
 * Work that many ask for at once, a little in each turn of the loop. A burst of hundreds of prompts arrives in one turn; done
 * at once, they keep a leader's heartbeats, the quorum's answers and its followers' questions waiting for half a
 * second, and it is taken for dead.
 */

/** Pieces of work in one turn; with the costliest some 10 ms. */
const BATCH_SIZE = 4;

export class BatchQueue {
  private readonly queue: (() => void)[] = [];

  private isRunning = false;

  /** Runs `work` in its turn, first come, first served. */
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
