/**
 * Bounds what a target sends on a connection without any body in it. undici limits the size of a head, but neither the
 * number of heads of informational responses nor a reason phrase or a chunk extension.
 */
import type * as net from 'node:net';

/** Maximum number of bytes without a body; four times the longest head. */
const MAX_OVERHEAD_BYTES = 65_536;

export class OverheadMeter {
  private markedAt: number;

  private isStopped = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly onExceeded: (detail: string) => void,
  ) {
    this.markedAt = this.bytesParsed;
    // undici's own listener comes first, so it has parsed what is readable.
    socket.on('readable', this.check);
  }

  /** The bytes that are being parsed hold some of the body. */
  bodyArrived(): void {
    this.markedAt = this.bytesParsed;
  }

  stop(): void {
    this.isStopped = true;
    this.socket.off('readable', this.check);
  }

  private get bytesParsed(): number {
    return this.socket.bytesRead - this.socket.readableLength;
  }

  private readonly check = (): void => {
    if (this.isStopped || this.bytesParsed - this.markedAt <= MAX_OVERHEAD_BYTES) return;
    this.stop();
    this.onExceeded(`over ${MAX_OVERHEAD_BYTES} bytes without a body`);
  };
}
