/** Responses of stand-in targets. They follow from the request alone, so that callers can verify them. */

/** Number of events in a complete stream; the longer ones last long enough for silences to begin midway. */
const STREAM_EVENTS = 8;
const LONG_STREAM_EVENTS = 60;
/** One in so many requests for streams gets a longer one. */
const LONG_STREAM_PERIOD = 3;

/** Requests whose path contains this get a stream. */
export const STREAM_MARKER = 'stream';

/** Path at which a stand-in reports the number of its memory reservations. */
export const STATE_PATH = '/state';

export function callBody(request: string, path: string): string {
  return `answer to ${request} at ${path}`;
}

/** Number of events in the complete stream for a request. */
export function streamLength(request: string): number {
  const isLong = Number.parseInt(request.slice(1), 10) % LONG_STREAM_PERIOD === 0;
  return isLong ? LONG_STREAM_EVENTS : STREAM_EVENTS;
}

export function streamEvent(request: string, id: number): string {
  return `id: ${id}\ndata: ${request} ${id} of ${streamLength(request)}\n\n`;
}

export function streamBody(request: string): string {
  const length = streamLength(request);
  return Array.from({ length }, (_, i) => streamEvent(request, i + 1)).join('');
}

/** The complete response body for a request. */
export function fullAnswer(request: string, path: string): string {
  return path.includes(STREAM_MARKER) ? streamBody(request) : callBody(request, path);
}

/** Requests whose body begins with this crash the target that runs them. */
export const CRASH_MARKER = 'crash';

/** Prompts with a part whose id begins with this crash the engine that begins to answer them. */
export const CRASHING_PART = 'dead';
