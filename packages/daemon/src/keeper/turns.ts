/**
 * Work that many ask for at once, a little in each turn of the loop. A burst of hundreds of prompts arrives in one turn; done
 * at once, they keep a leader's heartbeats, the quorum's answers and its followers' questions waiting for half a
 * second, and it is taken for dead.
 */

/** Pieces of work in one turn; with the costliest some 10 ms. */
const PER_TURN = 4;

export class Turns {
  private readonly waiting: (() => void)[] = [];

  private isRunning = false;

  /** Runs `work` in its turn, first come, first served. */
  run<T>(work: () => T | Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      this.waiting.push(() => {
        Promise.resolve().then(work).then(resolve, reject);
      });
      if (this.isRunning) return;
      this.isRunning = true;
      setImmediate(() => this.turn());
    });
  }

  private turn(): void {
    this.waiting.splice(0, PER_TURN).forEach((work) => work());
    if (this.waiting.length > 0) setImmediate(() => this.turn());
    else this.isRunning = false;
  }
}
