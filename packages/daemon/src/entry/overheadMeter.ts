/**
 * Bounds what a target sends beside the body of a response. undici limits the size of a head, but neither the number of
 * heads of informational responses nor a reason phrase, chunk extensions or trailers.
 */
import type * as net from 'node:net';

/** Maximum number of bytes beside the body; four times the longest head. */
const MAX_OVERHEAD_BYTES = 65_536;

/** The same for each byte of the body: a chunk of one byte takes five. */
const OVERHEAD_PER_BODY_BYTE = 8;

export class OverheadMeter {
  private readonly startedAt: number;

  private bodyBytes = 0;

  private isStopped = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly onExceeded: (detail: string) => void,
  ) {
    this.startedAt = this.bytesParsed;
    // undici's own listener comes first, so it has parsed what is readable.
    socket.on('readable', this.check);
  }

  /** A part of the body was parsed. */
  bodyArrived(bytes: number): void {
    this.bodyBytes += bytes;
  }

  stop(): void {
    this.isStopped = true;
    this.socket.off('readable', this.check);
  }

  private get bytesParsed(): number {
    return this.socket.bytesRead - this.socket.readableLength;
  }

  private readonly check = (): void => {
    const overhead = this.bytesParsed - this.startedAt - this.bodyBytes;
    const allowed = MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * this.bodyBytes;
    if (this.isStopped || overhead <= allowed) return;
    this.stop();
    this.onExceeded(`${overhead} bytes beside ${this.bodyBytes} of the body`);
  };
}
