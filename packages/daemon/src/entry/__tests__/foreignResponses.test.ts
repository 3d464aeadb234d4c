/** Responses of targets that answer another message than the one that waits on their connection. */
import type * as net from 'node:net';
import * as chai from 'chai';
import * as clock from '../../clock';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

/** A refusal that guarantees that the request did not run. */
function refusal(id: string): string {
  return harness.answer('', 503, 'not-run: 1\r\n', id);
}

function success(id: string): string {
  return harness.answer(`whole ${id}`, 200, '', id);
}

/** Id of the request in a message to a target; empty for other messages. */
function idOf(message: string): string {
  return harness.idOf(message) ?? '';
}

/** Answers each request with a success, and writes something else first where `instead` returns it. */
function answering(instead: (id: string) => string): harness.TargetBehaviour {
  return (message, socket) => {
    const id = idOf(message);
    socket.write(instead(id) + success(id));
  };
}

const SOUND = answering(() => '');

/** A target whose second copy of an earlier answer arrives where the answer to r2 is due. */
function lateCopy(copy: string): harness.TargetBehaviour {
  return answering((id) => (id === 'r2' ? copy : ''));
}

describe('responses to other messages', () => {
  let setup: harness.TestHarness;

  afterEach(() => setup.stop());

  const send = (path: string, id: string): Promise<harness.Reply> => setup.send(path, { id });

  // Guards against an unsafe call that its caller sends again, or a second target runs, although the first one runs it.
  it('are no guarantee that an unsafe call did not run', async () => {
    setup = await harness.TestHarness.start(lateCopy(refusal('r1')), SOUND);
    await send('/unsafe/1', 'r1');
    expect((await send('/unsafe/1', 'r2')).status).to.equal(502);
    expect(setup.received.map(idOf)).to.deep.equal(['r1', 'r2']);
  });

  // Guards against the same where the response names no request, or several, so that nobody knows which one was refused.
  const unnamed = { 'without an id': '', 'with two ids': 'id: r2\r\nid: r1\r\n' };
  Object.entries(unnamed).forEach(([title, ids]) => {
    it(`are no guarantee ${title}`, async () => {
      const copy = `HTTP/1.1 503 X\r\n${ids}not-run: 1\r\nContent-Length: 0\r\n\r\n`;
      setup = await harness.TestHarness.start(lateCopy(copy), SOUND);
      await send('/unsafe/1', 'r1');
      expect((await send('/unsafe/1', 'r2')).status).to.equal(502);
      expect(setup.received.map(idOf)).to.deep.equal(['r1', 'r2']);
    });
  });

  it('let a safe call be repeated at another target', async () => {
    setup = await harness.TestHarness.start(lateCopy(refusal('r1')), SOUND);
    await send('/safe/1', 'r1');
    const reply = await send('/safe/1', 'r2');
    expect([reply.status, reply.body]).to.deep.equal([200, 'whole r2']);
    expect(setup.outcomes).to.deep.equal(['done', 'broken', 'done']);
  });

  // Guards against back-offs, limits and departures that an earlier answer stated to another request.
  it('state nothing about their target', async () => {
    const statements = 'not-run: 1\r\nback-off: 60000\r\nlimit: 0.01\r\nleaving: 1\r\n';
    const copy = harness.answer('', 503, statements, 'r1');
    setup = await harness.TestHarness.start(lateCopy(copy));
    await send('/unsafe/1', 'r1');
    await send('/unsafe/1', 'r2');
    expect((await send('/unsafe/1', 'r3')).body).to.equal('whole r3');
  });

  // Guards against a connection that stays one answer behind, so that each further request on it fails.
  it('end their connection', async () => {
    const connections = new Set<net.Socket>();
    setup = await harness.TestHarness.start((message, socket) => {
      connections.add(socket);
      const id = idOf(message);
      if (id === 'r2') socket.write(success('r1'));
      setTimeout(() => socket.write(success(id)), 20);
    });
    const statuses = [];
    for (const id of ['r1', 'r2', 'r3', 'r4']) statuses.push((await send('/unsafe/1', id)).status);
    expect(statuses).to.deep.equal([200, 502, 200, 200]);
    // The connection of r1 and r2, and those of r3 and r4, which are their own.
    expect(connections.size).to.equal(3);
  });

  // Guards against a target that repeats every answer and so costs each further caller of an unsafe call a failure.
  it('fail one call, and then each message has a connection of its own', async () => {
    const copies = new Map<net.Socket, string>();
    setup = await harness.TestHarness.start((message, socket) => {
      const id = idOf(message);
      socket.write((copies.get(socket) ?? '') + success(id));
      copies.set(socket, success(id));
    });
    const statuses = [];
    for (let i = 1; i <= 8; i++) statuses.push((await send('/unsafe/1', `r${i}`)).status);
    expect(statuses).to.deep.equal([200, 502, 200, 200, 200, 200, 200, 200]);
  });

  // Guards against a guarantee whose break nobody notices but the caller.
  it('show that a request was run that was refused', async () => {
    const statements: Record<string, string> = { r1: refusal('r1'), r2: success('r1') };
    setup = await harness.TestHarness.start((message, socket) => {
      const id = idOf(message);
      if (id !== '') socket.write(statements[id]);
    });
    expect((await send('/unsafe/1', 'r1')).status).to.equal(503);
    expect((await send('/unsafe/1', 'r2')).status).to.equal(502);
    const events = setup.logged.map(({ event, request }) => [event, request]);
    expect(events).to.deep.include([5027, 'r1']);
  });

  // Guards against spare answers that arrive on an idle connection, or together with the true one.
  const arrivals: Record<string, (id: string, socket: net.Socket) => void> = {
    'in one packet with the answer': (id, socket) => socket.write(success(id) + refusal(id)),
    'while the connection is idle': (id, socket) => {
      socket.write(success(id));
      setTimeout(() => socket.write(refusal(id)), 20);
    },
    'in pieces': (id, socket) => {
      socket.write(success(id));
      [...refusal(id)].forEach((byte, i) => setTimeout(() => socket.write(byte), 5 + i / 4));
    },
    'after a stream': (id, socket) => {
      const head = harness.STREAM_HEAD.replace('r1', id);
      const events = harness.chunk('id: 1\ndata: a\n\n') + harness.LAST_CHUNK;
      socket.write(head + events + refusal(id));
    },
  };
  Object.entries(arrivals).forEach(([title, write]) => {
    it(`refuse no later request where they come ${title}`, async () => {
      setup = await harness.TestHarness.start((message, socket) => {
        socket.on('error', () => undefined);
        write(idOf(message), socket);
      });
      const path = title === 'after a stream' ? '/streaming/1' : '/unsafe/1';
      const statuses = new Set<number>();
      for (let i = 1; i <= 8; i++) {
        statuses.add((await send(path, `r${i}`)).status);
        await clock.sleep(i * 5);
      }
      expect([...statuses]).to.not.include(503);
      expect([...statuses]).to.include(200);
    });
  });

  // Guards against a late copy of a refusal with the same id, which a request gets that returned to the same target.
  it("don't reach a request that returns to a target that refused it", async () => {
    let first: net.Socket | undefined;
    const refuseTwice: harness.TargetBehaviour = (message, socket) => {
      const id = idOf(message);
      if (first === undefined) {
        first = socket;
        socket.write(refusal(id));
      } else {
        first.write(refusal(id));
        setTimeout(() => socket.write(success(id)), 20);
      }
    };
    setup = await harness.TestHarness.start(refuseTwice, (message, socket) => {
      socket.write(refusal(idOf(message)));
    });
    const reply = await send('/safe/1', 'r1');
    expect([reply.status, reply.body]).to.deep.equal([200, 'whole r1']);
    expect(setup.outcomes).to.deep.equal(['full', 'full', 'done']);
  });
});
