/**
 * Standard output that never blocks the event loop and uses bounded memory. Node writes to a pipe
 * synchronously, so a slow reader would block the process. Here lines are buffered and written by the thread
 * pool; lines that exceed the buffer or the rate limit are dropped and counted by level. Part of both limits is
 * reserved for warnings and errors, and part of that for errors, so that a flood of lines of one level doesn't drop
 * those of a higher one.
 */
import * as fs from 'node:fs';
import type * as events from './events';

/** Limit of the buffer for lines of each level, characters; what exceeds the level below is its reserve. */
const MAX_BUFFERED_CHARACTERS: Record<events.Level, number> = {
  debug: 256 * 1_024,
  info: 256 * 1_024,
  warn: 384 * 1_024,
  error: 448 * 1_024,
};

/** Sustained rate and burst of lines of all levels. */
const MAX_LINES_PER_SECOND = 500;
const MAX_BURST_LINES = 3_000;

/** Pause before more is written to a full non-blocking pipe, milliseconds. */
const FULL_PIPE_RETRY_MS = 10;

/** Part of the burst that lines of each level must leave to higher levels. */
const RESERVED_LINES: Record<events.Level, number> = {
  debug: 1_000,
  info: 1_000,
  warn: 250,
  error: 0,
};

export class BoundedOutput {
  private bufferedLines: string[] = [];

  private bufferedCharacters = 0;

  private isWriting = false;

  /** What a full pipe has not taken yet. */
  private rest: Buffer = Buffer.alloc(0);

  private availableLines = MAX_BURST_LINES;

  private refilledAt: number;

  private droppedLines = noLines();

  constructor(
    private readonly descriptor: number,
    private readonly now: () => number,
  ) {
    this.refilledAt = now();
  }

  write(line: string, level: events.Level): boolean {
    this.refill();
    if (
      this.bufferedCharacters + line.length > MAX_BUFFERED_CHARACTERS[level] ||
      this.availableLines < 1 + RESERVED_LINES[level]
    ) {
      this.droppedLines[level] += 1;
      return false;
    }
    this.availableLines -= 1;
    this.bufferedLines.push(line);
    this.bufferedCharacters += line.length;
    this.flush();
    return true;
  }

  /** Returns the number of lines of each level dropped since the last call. */
  takeDroppedLines(): Record<events.Level, number> {
    const { droppedLines } = this;
    this.droppedLines = noLines();
    return droppedLines;
  }

  /** Writes all buffered lines synchronously; called when the process exits. */
  flushSync(): void {
    const bytes = Buffer.concat([
      this.takeRest(),
      Buffer.from(this.bufferedLines.splice(0).join('')),
    ]);
    try {
      if (bytes.length > 0) fs.writeSync(this.descriptor, bytes);
    } catch {
      // The pipe is full or closed; an exit doesn't wait for its reader.
    }
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
    this.writeAll(Buffer.from(text), () => {
      this.isWriting = false;
      this.bufferedCharacters -= text.length;
      this.flush();
    });
  }

  /** Standard output is non-blocking if it shares a pipe with a standard error that Node has opened. */
  private writeAll(bytes: Buffer, onEnd: () => void): void {
    fs.write(this.descriptor, bytes, (error, written) => {
      // Another write error, such as a closed pipe, is ignored: the process runs on without its log.
      if (error !== null && error.code !== 'EAGAIN') {
        onEnd();
        return;
      }
      this.rest = error === null ? bytes.subarray(written) : bytes;
      if (this.rest.length === 0) {
        onEnd();
        return;
      }
      setTimeout(() => this.writeAll(this.takeRest(), onEnd), FULL_PIPE_RETRY_MS).unref();
    });
  }

  private takeRest(): Buffer {
    const { rest } = this;
    this.rest = Buffer.alloc(0);
    return rest;
  }
}

function noLines(): Record<events.Level, number> {
  return { debug: 0, info: 0, warn: 0, error: 0 };
}
