/** Reads responses of targets that may be endless: what is held for one is bounded. */
import type * as stream from 'node:stream';
import * as compactBytes from '../http/compactBytes';

/** A response or one of its events exceeds its bound. Whether the target runs the call is unknown. */
export class ResponseTooLargeError extends Error {
  readonly code = 'RESPONSE_TOO_LARGE';

  constructor(maxBytes: number) {
    super(`more than ${maxBytes} bytes`);
  }
}

/** Reads a body to its end; a longer one than `maxBytes` is given up, and its connection is closed. */
export async function read(body: stream.Readable, maxBytes: number): Promise<Buffer> {
  const bytes = new compactBytes.CompactBytes();
  for await (const chunk of body) {
    bytes.append(chunk as Buffer);
    if (bytes.length > maxBytes) throw new ResponseTooLargeError(maxBytes);
  }
  return bytes.join();
}
