/**
 * Frame format of the journal: a header with length and checksums, then a MessagePack payload. Each frame
 * is one write and one sync, so a crash can tear only the last frame.
 */
import * as zlib from 'node:zlib';
import * as msgpackr from 'msgpackr';
import { Err, Ok, Result } from 'ts-results';

/** Payload length, checksum of the length, checksum of the payload; four bytes each. */
const HEADER_BYTES = 12;

const packr = new msgpackr.Packr({ useRecords: false, structuredClone: false });

/** A frame is damaged although intact frames follow it: the disk lost synced data. */
export interface CorruptFrame {
  kind: 'corrupt';
  offset: number;
}

export interface Replay {
  payloads: unknown[];
  /** Length in bytes of the intact frames; anything after it is a torn frame. */
  length: number;
  torn: boolean;
}

export function encode(payload: unknown): Buffer {
  const body = packr.pack(payload);
  const frame = Buffer.alloc(HEADER_BYTES + body.length);
  frame.writeUInt32LE(body.length, 0);
  frame.writeUInt32LE(zlib.crc32(frame.subarray(0, 4)), 4);
  frame.writeUInt32LE(zlib.crc32(body), 8);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** End of the intact frame that starts at `offset`, or undefined if there is none. */
function frameEnd(file: Buffer, offset: number): number | undefined {
  if (offset + HEADER_BYTES > file.length) return undefined;
  const lengthField = file.subarray(offset, offset + 4);
  if (zlib.crc32(lengthField) !== file.readUInt32LE(offset + 4)) return undefined;
  const start = offset + HEADER_BYTES;
  const end = start + file.readUInt32LE(offset);
  if (end > file.length) return undefined;
  const isIntact = zlib.crc32(file.subarray(start, end)) === file.readUInt32LE(offset + 8);
  return isIntact ? end : undefined;
}

function hasFrameAfter(file: Buffer, offset: number): boolean {
  for (let next = offset + 1; next + HEADER_BYTES <= file.length; next++) {
    if (frameEnd(file, next) !== undefined) return true;
  }
  return false;
}

/**
 * Decodes a whole journal. A torn last frame was never acknowledged and is dropped. A damaged frame before
 * intact ones was acknowledged and is lost; ignoring it would let this replica vote against entries that it
 * accepted, so that is an error.
 */
export function replay(file: Buffer): Result<Replay, CorruptFrame> {
  const payloads: unknown[] = [];
  let offset = 0;
  while (offset < file.length) {
    const end = frameEnd(file, offset);
    if (end === undefined) {
      if (hasFrameAfter(file, offset)) return Err({ kind: 'corrupt', offset });
      return Ok({ payloads, length: offset, torn: true });
    }
    payloads.push(packr.unpack(file.subarray(offset + HEADER_BYTES, end)));
    offset = end;
  }
  return Ok({ payloads, length: offset, torn: false });
}
