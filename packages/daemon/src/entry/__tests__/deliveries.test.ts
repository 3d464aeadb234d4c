/** What an entry guarantees of the requests that it has sent. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as clock from '../../clock';
import * as deliveries from '../deliveries';
import * as targetAttempt from '../targetAttempt';
import type * as targetMessage from '../targetMessage';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const CALLBACKS = harness.PERMISSIVE_GATE.admit({} as targetMessage.TargetMessage);

const HANDLER = { onHead: () => undefined, onData: () => undefined };

/** A carrier that records whether it was aborted. */
function carrierOf(): targetAttempt.Carrier & { isAborted: boolean } {
  const ignore = (): void => undefined;
  const carrier = { isAborted: false, abort: ignore, pause: ignore, resume: ignore };
  carrier.abort = () => {
    carrier.isAborted = true;
  };
  return carrier;
}

function refusalOf(requestId: string): targetMessage.ResponseHead {
  const facts = harness.PROTOCOL.responseMetadata(503, { id: requestId, 'not-run': '1' });
  return { status: 503, raw: [], facts };
}

describe('deliveries of a request', () => {
  const attempt = new targetAttempt.Attempt({ target: 't', requestId: 'r' }, HANDLER, CALLBACKS);

  function sentBy(sent: targetAttempt.Attempt): deliveries.Deliveries {
    const made = new deliveries.Deliveries({ send: () => sent });
    made.send({} as targetMessage.TargetMessage, HANDLER);
    return made;
  }

  // Guards against a call that runs after its caller was told that it never will.
  it('start no attempt once it is guaranteed that none ran', () => {
    const late = new targetAttempt.Attempt({ target: 't', requestId: 'r' }, HANDLER, CALLBACKS);
    expect(sentBy(late).end()?.refusals).to.deep.equal([]);
    const carrier = carrierOf();
    late.started(carrier);
    expect([carrier.isAborted, late.wasSent]).to.deep.equal([true, false]);
  });

  // Guards against a guarantee while the target's refusal may still turn out to be incomplete.
  it('guarantee nothing of a sent request until its refusal is complete', () => {
    attempt.started(carrierOf());
    const made = sentBy(attempt);
    expect(made.mayHaveRun).to.equal(true);
    attempt.answered(refusalOf('r'));
    expect(made.mayHaveRun).to.equal(true);
    attempt.finish({ kind: 'complete' });
    expect(made.end()?.refusals.map(({ answered }) => answered)).to.deep.equal(['r']);
  });

  it('guarantee nothing if the send itself fails unexpectedly', () => {
    const made = new deliveries.Deliveries({
      send: () => {
        throw new Error('unexpected');
      },
    });
    expect(() => made.send({} as targetMessage.TargetMessage, HANDLER)).to.throw();
    expect(made.end()).to.equal(undefined);
  });

  // Guards against a call that is refused as not run after an unexpected error, and runs all the same.
  it('end with an unexpected error, so that no call runs after its refusal', async () => {
    const setup = await harness.TestHarness.start((message, socket) => {
      socket.write(harness.answerTo(message, 'whole'));
    });
    setup.errorAfterSend = new Error('unexpected');
    const { status } = await setup.send('/unsafe/1');
    await clock.sleep(50);
    const hasRun = setup.received.length > 0;
    setup.stop();
    expect(status === 503 && hasRun).to.equal(false);
  });
  // Guards against a status of Node's own parser in place of the answer to a call that runs.
  it('keep their answer if their caller sends more bytes meanwhile', async () => {
    const setup = await harness.TestHarness.start((message, target) => {
      setTimeout(() => target.write(harness.answerTo(message, 'whole')), 50);
    });
    const received = await new Promise<string>((resolve) => {
      const socket = net.connect(setup.port, '127.0.0.1', () => {
        socket.write('POST /unsafe/1 HTTP/1.1\r\nHost: a.example\r\nid: r1\r\nkey: k\r\n');
        socket.write('Content-Length: 0\r\n\r\ngarbage\r\n\r\n');
      });
      socket.once('data', (data) => resolve(data.toString()));
    });
    setup.stop();
    expect(received).to.match(/^HTTP\/1\.1 200 /);
  });
});

describe('log of refused requests', () => {
  // Guards against a refusal whose cause the log can't tell: whose words, on which connection, under which id.
  it('names the evidence of a refusal after a send', async () => {
    const setup = await harness.TestHarness.start((message, socket) => {
      socket.write(harness.answer('', 503, 'not-run: 1\r\n', harness.idOf(message) ?? ''));
    });
    await setup.send('/unsafe/1', { id: 'r1' });
    await setup.send('/unsafe/1', { id: 'r2' });
    setup.stop();
    const lines = setup.logged.filter(({ event }) => event === 5026);
    const evidence = lines.flatMap((line) => line.evidence as Record<string, unknown>[]);
    expect(
      evidence.map(({ target, status, answered, messages }) => [
        target,
        status,
        answered,
        messages,
      ]),
    ).to.deep.equal([
      ['t0', 503, 'r1', 1],
      ['t0', 503, 'r2', 2],
    ]);
    expect(evidence[0].connection).to.equal(evidence[1].connection);
  });
});
