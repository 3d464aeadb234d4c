/**
 * Limits the processor time that bodies in many small parts take. Node calls back for each part of what it has read, ten
 * thousand times for 64 KiB in chunks of one byte, and reads a busy connection many times before it turns to the next.
 * After so many small parts a connection isn't read until it is its turn, which one connection has in each turn of
 * the event loop.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as turns from './turns';

/** A part of at least this size costs little for what it brings, bytes. */
const LARGE_PART_BYTES = 1_024;

/** Small parts after which a connection waits for its turn. */
const PARTS_PER_TURN = 256;

function wait(socket: net.Socket): void {
  if (socket.destroyed || turns.isWaiting(socket)) return;
  socket.pause();
  turns.wait(socket, () => socket.resume());
}

/** To be passed to a server as its `IncomingMessage`. */
export class PacedRequest extends http.IncomingMessage {
  private smallParts = 0;

  override push(part: Buffer | null, encoding?: BufferEncoding): boolean {
    if (part !== null && part.length < LARGE_PART_BYTES) {
      this.smallParts += 1;
      if (this.smallParts % PARTS_PER_TURN === 0) wait(this.socket);
    }
    return super.push(part, encoding);
  }

  /** Node resumes a connection whenever a part of the body was taken. */
  override _read(size: number): void {
    if (!turns.isWaiting(this.socket)) super._read(size);
  }
}
