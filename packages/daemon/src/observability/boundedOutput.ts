/**
 * Standard output that never blocks the event loop and uses bounded memory. Node writes to a pipe
 * synchronously, so a slow reader would block the process. Here lines are buffered and written by the thread
 * pool; lines that exceed the buffer or the rate limit are dropped and counted.
 */
import * as fs from 'node:fs';

/** Room for about 800 lines of 300 characters. */
const MAX_BUFFERED_CHARACTERS = 256 * 1_024;

/** Sustained rate and burst of lines; the rate is ten times that of a busy entry. */
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

  /** Returns the number of lines dropped since the last call. */
  takeDroppedLines(): number {
    const { droppedLines } = this;
    this.droppedLines = 0;
    return droppedLines;
  }

  /** Writes all buffered lines synchronously; called when the process exits. */
  flushSync(): void {
    const text = this.bufferedLines.splice(0).join('');
    if (text !== '') fs.writeSync(this.descriptor, text);
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
      // A write error, such as a closed pipe, is ignored: the process runs on without its log.
      this.isWriting = false;
      this.bufferedCharacters -= text.length;
      this.flush();
    });
  }
}
