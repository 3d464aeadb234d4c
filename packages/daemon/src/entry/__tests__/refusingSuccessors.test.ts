/** Streams whose target is silent for a moment, while the only other target answers but takes no requests. */
import * as chai from 'chai';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const BEGIN = harness.chunk('id: 1\ndata: a\n\n');
const REST = harness.chunk('id: 2\ndata: b\n\n') + harness.LAST_CHUNK;

/** How long the first target is silent, milliseconds; it is sound. */
const SILENCE_MS = 1_500;

const refusing =
  (more: string): harness.TargetBehaviour =>
  (message, socket) => {
    const id = harness.idOf(message);
    const own = id === undefined ? '' : `id: ${id}\r\n`;
    const head = `HTTP/1.1 503 X\r\n${own}signed: 1\r\nnot-run: 1\r\n${more}`;
    socket.write(`${head}Content-Length: 0\r\n\r\n`);
  };

describe('a stream on a silent target', () => {
  let setup: harness.TestHarness;

  afterEach(() => {
    setup.stop();
  });

  const first: harness.TargetBehaviour = (request, socket) => {
    if (request.includes(harness.REPORT_PATH)) return;
    socket.write(harness.STREAM_HEAD + BEGIN);
    setTimeout(() => socket.write(REST), SILENCE_MS);
  };

  // Guards against a stream that is cut as its next target responds, but refuses its probe as it refuses requests.
  const refusals: Record<string, string> = {
    'is full': '',
    'asked for a back-off': 'back-off: 5000\r\n',
  };
  Object.entries(refusals).forEach(([title, more]) => {
    it(`is kept while the other target ${title}`, async () => {
      setup = await harness.TestHarness.start(first, refusing(more));
      const reply = await setup.send('/long/1', { patience: '4000' });
      expect([reply.body, reply.isWhole]).to.deep.equal([
        'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
        true,
      ]);
    });
  });
});
