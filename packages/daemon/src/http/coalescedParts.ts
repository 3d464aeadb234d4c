/**
 * Joins the small parts of a body that arrive in one turn of the event loop. Each write to a connection takes some hundred
 * bytes beside its content until the peer has taken it, so a body in parts of a byte would take many times its size.
 */
import * as compactBytes from './compactBytes';

/** A part of at least this size is passed on by itself, bytes. */
const LARGE_PART_BYTES = 1_024;

/** Small parts are passed on once they are so many bytes. */
const MAX_JOINED_BYTES = 16_384;

export class CoalescedParts {
  private readonly joined = new compactBytes.CompactBytes();

  private timer: NodeJS.Immediate | undefined;

  constructor(private readonly passOn: (bytes: Buffer) => void) {}

  push(part: Buffer): void {
    if (part.length >= LARGE_PART_BYTES) {
      this.flush();
      this.passOn(part);
      return;
    }
    this.joined.append(part);
    if (this.joined.length >= MAX_JOINED_BYTES) this.flush();
    else this.timer ??= setImmediate(() => this.flush());
  }

  /** Passes on what was joined. */
  flush(): void {
    const parts = this.joined.take();
    this.clear();
    parts.forEach((part) => this.passOn(part));
  }

  /** Drops what was joined. */
  clear(): void {
    clearImmediate(this.timer);
    this.timer = undefined;
    this.joined.clear();
  }
}
