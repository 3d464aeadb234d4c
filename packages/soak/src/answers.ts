/** What a stand-in target answers to a request; known from the request alone, so that a caller can check it. */

/** Events of a whole stream. */
export const STREAM_EVENTS = 8;

/** A path with this word gets a stream. */
export const STREAM_MARKER = 'stream';

/** Where a stand-in tells its state. */
export const STATE_PATH = '/state';

export function callBody(request: string, path: string): string {
  return `answer to ${request} at ${path}`;
}

export function streamEvent(request: string, id: number): string {
  return `id: ${id}\ndata: ${request} ${id} of ${STREAM_EVENTS}\n\n`;
}

export function streamBody(request: string): string {
  return Array.from({ length: STREAM_EVENTS }, (_, i) => streamEvent(request, i + 1)).join('');
}

/** The whole answer to a request. */
export function fullAnswer(request: string, path: string): string {
  return path.includes(STREAM_MARKER) ? streamBody(request) : callBody(request, path);
}

/** The body of a request begins with this where targets are to end when they begin to run it. */
export const CRASH_MARKER = 'crash';
