/**
 * Framing between daemons: a four-byte length, then a MessagePack value that holds a JSON-RPC 2.0 object.
 * The encoding is compact, and the bytes of each message can be counted.
 */
import * as msgpackr from 'msgpackr';

/** A longer frame is rejected before it is buffered, so that an unknown peer can't exhaust memory. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;

const LENGTH_BYTES = 4;

const packr = new msgpackr.Packr({ useRecords: false });

export type FrameHandler = (value: unknown, bytes: number) => void;

export function encode(value: unknown): Buffer {
  const body = packr.pack(value);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Splits a byte stream into frames. `push` throws on a frame that is too long or isn't valid MessagePack. */
export class FrameDecoder {
  private chunks: Buffer[] = [];

  private length = 0;

  constructor(
    private readonly onFrame: FrameHandler,
    /** Applies to the frames that follow. */
    public maxFrameBytes: number = MAX_FRAME_BYTES,
  ) {}

  /** @throws Error when the bytes aren't a valid frame */
  push(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.length += chunk.length;
    let frameBytes = this.frameLength();
    while (frameBytes !== undefined && this.length >= frameBytes) {
      const buffered = this.joinChunks();
      const body = buffered.subarray(LENGTH_BYTES, frameBytes);
      this.chunks = [buffered.subarray(frameBytes)];
      this.length = buffered.length - frameBytes;
      this.onFrame(packr.unpack(body), frameBytes);
      frameBytes = this.frameLength();
    }
  }

  private frameLength(): number | undefined {
    if (this.length < LENGTH_BYTES) return undefined;
    if ((this.chunks[0]?.length ?? 0) < LENGTH_BYTES) this.chunks = [this.joinChunks()];
    const bodyBytes = this.chunks[0].readUInt32BE(0);
    if (bodyBytes > this.maxFrameBytes)
      throw new Error(`frame of ${bodyBytes} bytes is over the limit`);
    return LENGTH_BYTES + bodyBytes;
  }

  private joinChunks(): Buffer {
    return this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
  }
}
