/**
 * Standard output that never blocks the loop and never grows. Node writes to a pipe synchronously, so a
 * reader that is slow would stop the process; here lines wait in a bounded buffer, are written by the thread
 * pool, and are counted and dropped when the buffer is full or more come than the rate allows.
 */
import * as fs from 'node:fs';

/** Buffered bytes; at 300 bytes a line some 800 lines. */
const MAX_BUFFERED_CHARACTERS = 256 * 1_024;

/** Lines a second that may be written for long, and at once. Ten times a busy entry's usual. */
const MAX_LINES_PER_SECOND = 500;
const MAX_BURST_LINES = 2_000;

export class BoundedOutput {
  private bufferedLines: string[] = [];

  private bufferedCharacters = 0;

  private isWriting = false;

  private availableLines = MAX_BURST_LINES;

  private refilledAt: number;

  private droppedLines = 0;

  constructor(
    private readonly descriptor: number,
    private readonly now: () => number,
  ) {
    this.refilledAt = now();
  }

  write(line: string): boolean {
    this.refill();
    if (
      this.bufferedCharacters + line.length > MAX_BUFFERED_CHARACTERS ||
      this.availableLines < 1
    ) {
      this.droppedLines += 1;
      return false;
    }
    this.availableLines -= 1;
    this.bufferedLines.push(line);
    this.bufferedCharacters += line.length;
    this.flush();
    return true;
  }

  /** Lines dropped since the last call. */
  takeDroppedLines(): number {
    const { droppedLines } = this;
    this.droppedLines = 0;
    return droppedLines;
  }

  /** Writes what waits, blocking; for the end of the process. */
  flushSync(): void {
    const rest = this.bufferedLines.splice(0).join('');
    if (rest !== '') fs.writeSync(this.descriptor, rest);
  }

  private refill(): void {
    const now = this.now();
    const gained = ((now - this.refilledAt) / 1_000) * MAX_LINES_PER_SECOND;
    this.availableLines = Math.min(MAX_BURST_LINES, this.availableLines + gained);
    this.refilledAt = now;
  }

  private flush(): void {
    if (this.isWriting || this.bufferedLines.length === 0) return;
    this.isWriting = true;
    const text = this.bufferedLines.splice(0).join('');
    fs.write(this.descriptor, text, () => {
      // A reader that is gone takes no lines; the process goes on without it.
      this.isWriting = false;
      this.bufferedCharacters -= text.length;
      this.flush();
    });
  }
}
