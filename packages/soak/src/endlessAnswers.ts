/** Answers without an end: valid pieces of a message, as fast as the other side reads them, until it closes. */
import type * as net from 'node:net';
import * as stream from 'node:stream';
import * as timersPromises from 'node:timers/promises';

/** What has no end: the body, the header section, or the informational responses before the answer. */
export const FORMS = ['body', 'head', 'informational'] as const;
export type Form = (typeof FORMS)[number];

/** Size of one write; one in so many milliseconds keeps a CPU for the rest of the machine. */
const WRITE_BYTES = 262_144;
const WRITE_INTERVAL_MS = 2;

const PIECE: Record<Form, string> = {
  body: 'without end, ',
  head: 'x-field: without end\r\n',
  informational: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n',
};

/** Sends an answer with these headers (names and values, alternating) until the connection is closed. */
export function send(socket: net.Socket, form: Form, headers: readonly string[]): void {
  const fields = headers.map((each, i) => (i % 2 === 0 ? `${each}: ` : `${each}\r\n`)).join('');
  const opening = `HTTP/1.1 200 OK\r\n${fields}${form === 'body' ? '\r\n' : ''}`;
  const piece = PIECE[form].repeat(WRITE_BYTES / PIECE[form].length);
  const write = async function* write(): AsyncGenerator<string> {
    if (form !== 'informational') yield opening;
    for (;;) {
      yield piece;
      await timersPromises.setTimeout(WRITE_INTERVAL_MS);
    }
  };
  stream.pipeline(stream.Readable.from(write()), socket, () => undefined);
}
