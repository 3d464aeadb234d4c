/**
 * Standard output that never blocks the loop and never grows. Node writes to a pipe synchronously, so a
 * reader that is slow would stop the process; here lines wait in a bounded buffer, are written by the thread
 * pool, and are counted and dropped when the buffer is full or more come than the rate allows.
 */
import * as fs from 'node:fs';

/** Buffered bytes; at 300 bytes a line some 800 lines. */
const MOST_BYTES = 256 * 1_024;

/** Lines a second that may be written for long, and at once. Ten times a busy entry's usual. */
const LINES_PER_SECOND = 500;
const BURST_LINES = 2_000;

export class BoundedOutput {
  private waiting: string[] = [];

  private bytes = 0;

  private writing = false;

  private allowance = BURST_LINES;

  private filledAt: number;

  private lost = 0;

  constructor(
    private readonly descriptor: number,
    private readonly now: () => number,
  ) {
    this.filledAt = now();
  }

  write(line: string): boolean {
    this.fill();
    if (this.bytes + line.length > MOST_BYTES || this.allowance < 1) {
      this.lost += 1;
      return false;
    }
    this.allowance -= 1;
    this.waiting.push(line);
    this.bytes += line.length;
    this.flush();
    return true;
  }

  /** Lines dropped since the last call. */
  takeLost(): number {
    const { lost } = this;
    this.lost = 0;
    return lost;
  }

  /** Writes what waits, blocking; for the end of the process. */
  end(): void {
    const rest = this.waiting.splice(0).join('');
    if (rest !== '') fs.writeSync(this.descriptor, rest);
  }

  private fill(): void {
    const now = this.now();
    const gained = ((now - this.filledAt) / 1_000) * LINES_PER_SECOND;
    this.allowance = Math.min(BURST_LINES, this.allowance + gained);
    this.filledAt = now;
  }

  private flush(): void {
    if (this.writing || this.waiting.length === 0) return;
    this.writing = true;
    const text = this.waiting.splice(0).join('');
    fs.write(this.descriptor, text, () => {
      // A reader that is gone takes no lines; the process goes on without it.
      this.writing = false;
      this.bytes -= text.length;
      this.flush();
    });
  }
}
