/** Answers that have begun and that no other target can continue, whose target is silent for a moment. */
import * as chai from 'chai';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

describe('an answer that has begun and that no other target can continue', () => {
  let setup: harness.TestHarness;

  afterEach(() => {
    setup.stop();
  });

  // Guards against a stream that is cut although its target is sound, and although it can't be resumed anywhere.
  it('is left to its silent target as a stream without ids of events', async () => {
    const first: harness.TargetBehaviour = (request, socket) => {
      if (request.includes(harness.REPORT_PATH)) return;
      socket.write(harness.STREAM_HEAD + harness.chunk('data: a\n\n'));
      setTimeout(() => socket.write(harness.chunk('data: b\n\n') + harness.LAST_CHUNK), 1_300);
    };
    setup = await harness.TestHarness.start(
      first,
      harness.answeringProbes(() => undefined),
    );
    const reply = await setup.send('/long/1', { patience: '4000' });
    expect([reply.body, reply.isWhole]).to.deep.equal(['data: a\n\ndata: b\n\n', true]);
  });

  // Guards against a long answer that is cut while it is passed on, as its target pauses or takes longer than calls do.
  it('is left to its silent target as a call with a long answer', async () => {
    const part = 'x'.repeat(700_000);
    const first: harness.TargetBehaviour = (request, socket) => {
      if (request.includes(harness.REPORT_PATH)) return;
      socket.write(harness.STREAM_HEAD + harness.chunk(part) + harness.chunk(part));
      setTimeout(() => socket.write(harness.chunk(part) + harness.LAST_CHUNK), 1_000);
    };
    setup = await harness.TestHarness.start(
      first,
      harness.answeringProbes(() => undefined),
    );
    const reply = await setup.send('/safe/1');
    expect([reply.body.length, reply.isWhole]).to.deep.equal([3 * part.length, true]);
  });

  // Guards against a long answer that is cut although it goes on arriving all the time.
  it('is left to its target as a call with a long answer that takes a while', async () => {
    const begin = 'x'.repeat(1_200_000);
    const part = 'y'.repeat(1_000);
    const parts = 150;
    const first: harness.TargetBehaviour = (request, socket) => {
      if (request.includes(harness.REPORT_PATH)) return;
      socket.write(harness.STREAM_HEAD + harness.chunk(begin));
      let sent = 0;
      const timer = setInterval(() => {
        sent += 1;
        socket.write(harness.chunk(part) + (sent === parts ? harness.LAST_CHUNK : ''));
        if (sent === parts) clearInterval(timer);
      }, 5);
    };
    setup = await harness.TestHarness.start(
      first,
      harness.answeringProbes(() => undefined),
    );
    const reply = await setup.send('/safe/1');
    const length = begin.length + parts * part.length;
    expect([reply.body.length, reply.isWhole]).to.deep.equal([length, true]);
  });
});
