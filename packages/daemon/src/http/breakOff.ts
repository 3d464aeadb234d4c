/** Ends the connection of a response that has begun and isn't complete, so that it can't be taken for complete. */
import type * as http from 'node:http';

export function breakOff(response: http.ServerResponse): void {
  // A caller of HTTP/1.0 gets no chunks, so that a response ends with its connection; a reset shows that it is cut.
  if (response.req.httpVersion === '1.0') response.socket?.resetAndDestroy();
  response.destroy();
}
