/** What a caller gets, and what targets see, when targets fail in each of their ways. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as clock from '../../clock';
import * as harness from './__fixtures__/bench';

const { expect } = chai;

const RESPOND: harness.TargetBehaviour = (_request, socket) =>
  socket.write(harness.answer('whole'));

describe('exchange', () => {
  let setup: harness.TestHarness;

  afterEach(() => setup.stop());

  it('passes an answer on unchanged', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    const reply = await setup.send('/unsafe/1', {}, 'body');
    expect([reply.status, reply.body, reply.headers.signed]).to.deep.equal([200, 'whole', '1']);
    expect(setup.outcomes).to.deep.equal(['done']);
  });

  /*
   * A parts hold would be booked twice. The target reads the call and its connection breaks; nobody knows
   * whether it ran, so it is neither sent again nor answered with a status that promises it did not run.
   */
  it('never repeats an unsafe call that may have run, and promises nothing', async () => {
    setup = await harness.TestHarness.start(
      (_request, socket) => socket.resetAndDestroy(),
      RESPOND,
    );
    const reply = await setup.send('/unsafe/1');
    expect([reply.status, setup.received.length]).to.deep.equal([502, 1]);
  });

  it('says that an unsafe call did not run where the target says so', async () => {
    const refuse = harness.answer('', 503, 'not-run: 1\r\n');
    setup = await harness.TestHarness.start((_request, socket) => socket.write(refuse), RESPOND);
    const reply = await setup.send('/unsafe/1');
    expect([reply.status, setup.received.length]).to.deep.equal([503, 1]);
    expect(Number(reply.headers['retry-after'])).to.be.greaterThan(0);
  });

  /*
   * A caller would take a call for not run that ran. A faulty target answers 503 without saying that it didn't
   * run the request.
   */
  it("doesn't pass on a promise that the target didn't make", async () => {
    setup = await harness.TestHarness.start((_request, socket) =>
      socket.write(harness.answer('', 503)),
    );
    expect((await setup.send('/unsafe/1')).status).to.equal(502);
  });

  /*
   * A fitter's parts hold was refused while two servers of three were well. The third had crashed: its address
   * refused the connection, and the only attempt of a call that runs once was spent on it.
   */
  it("takes another target for a call that runs once where one can't be reached", async () => {
    setup = await harness.TestHarness.start(RESPOND, RESPOND);
    await setup.crash(0);
    const reply = await setup.send('/unsafe/1');
    expect([reply.body, setup.received.length, setup.outcomes]).to.deep.equal([
      'whole',
      1,
      ['unreachable', 'done'],
    ]);
  });

  /*
   * A review was refused with ten seconds left. Its first target had no room; its second one refused because a helper had
   * died; a route allows two targets, but one that refused may be asked again.
   */
  it('asks a target again that refused, where no further one is allowed', async () => {
    const refuse = harness.answer('', 503, 'not-run: 1\r\n');
    let asked = 0;
    const succeedOnRetry: harness.TargetBehaviour = (_request, socket) => {
      asked += 1;
      socket.write(asked === 1 ? refuse : harness.answer('whole'));
    };
    setup = await harness.TestHarness.start(succeedOnRetry, (_request, socket) =>
      socket.write(refuse),
    );
    const reply = await setup.send('/safe/1');
    expect([reply.body, setup.outcomes]).to.deep.equal(['whole', ['full', 'full', 'done']]);
    expect(setup.placementRequests[2].writers).to.deep.equal(['t0', 't1']);
  });

  /** Guards against a stream that is given up at the first target that can't be reached, though another one is there. */
  it('goes on with a stream past a target that can not be reached, or that turns it away', async () => {
    const cut: harness.TargetBehaviour = (_request, socket) => {
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
      setTimeout(() => socket.resetAndDestroy(), 50);
    };
    const rest: harness.TargetBehaviour = (_request, socket) =>
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 2\ndata: b\n\n') + harness.LAST_CHUNK);
    setup = await harness.TestHarness.start(cut, RESPOND, rest);
    await setup.crash(1);
    const whole = ['id: 1\ndata: a\n\nid: 2\ndata: b\n\n', true];
    const reply = await setup.send('/streaming/1');
    expect([reply.body, reply.isWhole]).to.deep.equal(whole);
    setup.stop();

    const refuse = harness.answer('', 503, 'not-run: 1\r\n');
    let asked = 0;
    const succeedOnRetry: harness.TargetBehaviour = (request, socket) => {
      asked += 1;
      if (asked === 1) socket.write(refuse);
      else rest(request, socket);
    };
    setup = await harness.TestHarness.start(cut, succeedOnRetry);
    const again = await setup.send('/streaming/1');
    expect([again.body, again.isWhole]).to.deep.equal(whole);
  });

  /** Guards against a request that was placed before its target asked this VM to back off, and is sent after it. */
  it('goes elsewhere where its target wants nothing more by the time it is sent', async () => {
    const refuse = harness.answer('', 503, 'not-run: 1\r\nback-off: 2000\r\n');
    setup = await harness.TestHarness.start((_request, socket) => socket.write(refuse), RESPOND);
    setup.placementDelayMs = 60;
    const first = setup.send('/unsafe/1');
    await clock.pause(40);
    const second = setup.send('/unsafe/1');
    expect([(await first).status, (await second).body]).to.deep.equal([503, 'whole']);
    expect(setup.outcomes).to.deep.equal(['full', 'cancelled', 'done']);
    expect(setup.received.length).to.equal(2);
  });

  /*
   * Each request found out by itself that a server was gone and another one had its address: the refusal that said
   * so was taken for a full server, and nobody was told.
   */
  it('says which lifetime was gone when another one answered', async () => {
    const other = harness.answer('', 421, 'not-run: 1\r\n');
    setup = await harness.TestHarness.start((_request, socket) => socket.write(other), RESPOND);
    await setup.send('/safe/1');
    expect(setup.outcomes).to.deep.equal(['replaced', 'done']);
  });

  it("goes on to a few targets at most that can't be reached", async () => {
    setup = await harness.TestHarness.start(RESPOND, RESPOND, RESPOND, RESPOND, RESPOND);
    for (let i = 0; i < 4; i++) await setup.crash(i);
    expect((await setup.send('/unsafe/1')).status).to.equal(503);
    expect(setup.outcomes.length).to.equal(3);
  });

  /*
   * One request in twenty was refused on calm engines. Operators had given a route more time than its callers wait, and
   * the difference was taken for a wait before; each of their requests counted as late from the start.
   */
  it("doesn't take a caller's short patience for a wait", async () => {
    setup = await harness.TestHarness.start(RESPOND);
    await setup.send('/safe/1', { patience: '900' });
    expect(setup.placementRequests[0].waitedMs).to.be.lessThan(100);
  });

  /*
   * A reader saw his text end midway, beside a change of settings, with engines free. The target cut a stream after
   * 1.8 s; the time since the request came was taken for a wait of six objectives, for which no engine is given.
   */
  it('counts no wait for a stream that goes on elsewhere, and no more than the objective otherwise', async () => {
    const cut: harness.TargetBehaviour = (_request, socket) => {
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
      setTimeout(() => socket.resetAndDestroy(), 300);
    };
    const rest: harness.TargetBehaviour = (_request, socket) =>
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 2\ndata: b\n\n') + harness.LAST_CHUNK);
    setup = await harness.TestHarness.start(cut, rest);
    expect((await setup.send('/streaming/1')).isWhole).to.equal(true);
    expect(setup.placementRequests[1].waitedMs).to.equal(0);
    setup.stop();

    setup = await harness.TestHarness.start(() => undefined, RESPOND);
    expect((await setup.send('/safe/1')).body).to.equal('whole');
    expect(setup.placementRequests[1].waitedMs).to.equal(100);
  });

  /*
   * A reader's stream ended with another target's failure as its last text, and looked whole. Its first target was cut
   * midway, and the last one that it could go on at answered with a status of its own.
   */
  [500, 404].forEach((status) => {
    it(`doesn't end a stream with the ${status} of the target that was to go on with it`, async () => {
      const cut: harness.TargetBehaviour = (_request, socket) => {
        socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
        setTimeout(() => socket.resetAndDestroy(), 50);
      };
      const fails: harness.TargetBehaviour = (_request, socket) =>
        socket.write(harness.answer('failed', status));
      setup = await harness.TestHarness.start(cut, fails);
      const reply = await setup.send('/streaming/1');
      expect([reply.status, reply.isWhole, reply.body]).to.deep.equal([
        200,
        false,
        'id: 1\ndata: a\n\n',
      ]);
    });
  });

  it('has a safe call answered by another target when the first fails', async () => {
    setup = await harness.TestHarness.start(
      (_request, socket) => socket.write(harness.answer('broken', 500)),
      RESPOND,
    );
    expect((await setup.send('/safe/1')).body).to.equal('whole');
    expect(setup.outcomes).to.deep.equal(['broken', 'done']);
  });

  it('gives up a safe call on a target that is silent', async () => {
    setup = await harness.TestHarness.start(() => undefined, RESPOND);
    expect((await setup.send('/safe/1')).body).to.equal('whole');
  });

  /*
   * A caller would read another caller's text. A target sends a late answer to an earlier request, where the
   * next one's is expected.
   */
  it('never passes on an answer to another request', async () => {
    const other = harness.answer('other').replace('id: r1', 'id: r0');
    setup = await harness.TestHarness.start((_request, socket) => socket.write(other));
    const reply = await setup.send('/unsafe/1');
    expect([reply.status, reply.body]).to.deep.equal([502, '']);
  });

  /*
   * A reader would see a part twice, or a gap. The target crashes in the middle of an event; the stream goes
   * on at another target after the last whole one, within the same answer.
   */
  it('goes on with a stream after its last whole event', async () => {
    const first: harness.TargetBehaviour = (_request, socket) => {
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\nid: 2\nda'));
      setTimeout(() => socket.resetAndDestroy(), 20);
    };
    const second: harness.TargetBehaviour = (_request, socket) =>
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 2\ndata: b\n\n') + harness.LAST_CHUNK);
    setup = await harness.TestHarness.start(first, second);
    const reply = await setup.send('/streaming/1');
    expect([reply.body, reply.isWhole]).to.deep.equal([
      'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
      true,
    ]);
    expect(setup.received[1]).to.match(/resume-after: 1\r\n/);
  });

  /*
   * A long prompt was read a second time while its engine was about to answer. It is overdue by what was
   * predicted, and alive; its entry asks before it gives up.
   */
  it('leaves a target alone that is overdue and alive', async () => {
    const busy: harness.TargetBehaviour = (request, socket) => {
      if (request.includes(harness.REPORT_PATH)) socket.write(harness.answer('{}'));
      else setTimeout(() => socket.write(stream), 1_200);
    };
    const stream = `${harness.STREAM_HEAD}${harness.chunk('id: 1\ndata: a\n\n')}${harness.LAST_CHUNK}`;
    setup = await harness.TestHarness.start(busy, RESPOND);
    const reply = await setup.send('/streaming/1');
    expect([reply.body, setup.outcomes]).to.deep.equal(['id: 1\ndata: a\n\n', ['done']]);
  });

  /*
   * Callers waited for seconds on an engine that had gone dark: it took connections' bytes and said nothing. It
   * doesn't answer the question whether it lives either, so another one gets the request.
   */
  it('leaves a dead target as soon as it is overdue', async () => {
    const stream = `${harness.STREAM_HEAD}${harness.chunk('id: 1\ndata: a\n\n')}${harness.LAST_CHUNK}`;
    setup = await harness.TestHarness.start(
      () => undefined,
      (_request, socket) => socket.write(stream),
    );
    const since = performance.now();
    const reply = await setup.send('/streaming/1');
    expect([reply.body, setup.outcomes]).to.deep.equal(['id: 1\ndata: a\n\n', ['broken', 'done']]);
    expect(performance.now() - since).to.be.lessThan(950);
  });

  /*
   * Two clerks sent the same lookup at the same moment, and their target crashed under both. One was sent on as the trial; the
   * other one was answered 502 at once, though targets were free and the trial told a moment later that it may run.
   */
  it('lets a copy that a crash cut wait for the trial of the other one', async () => {
    const sockets: net.Socket[] = [];
    const crashing: harness.TargetBehaviour = (_request, socket) => {
      sockets.push(socket);
      if (sockets.length < 2) return;
      void setup.crash(0);
      sockets.forEach((each) => each.resetAndDestroy());
    };
    const slow: harness.TargetBehaviour = (request, socket) => {
      const id = /id: (\S+)/.exec(request)?.[1] ?? '';
      setTimeout(() => socket.write(harness.answer('whole').replace('id: r1', `id: ${id}`)), 200);
    };
    setup = await harness.TestHarness.start(crashing, slow);
    const replies = await Promise.all(
      ['r1', 'r2'].map((id) => setup.send('/safe/1', { id }, 'same')),
    );
    expect(replies.map(({ status, body }) => `${status} ${body}`)).to.deep.equal([
      '200 whole',
      '200 whole',
    ]);
  });

  it('breaks a stream off that nobody can go on with', async () => {
    const half: harness.TargetBehaviour = (_request, socket) => {
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
      setTimeout(() => socket.resetAndDestroy(), 20);
    };
    setup = await harness.TestHarness.start(half, half);
    const reply = await setup.send('/streaming/1');
    expect([reply.status, reply.isWhole]).to.deep.equal([200, false]);
  });

  it('closes the connection to the target when the caller leaves', async () => {
    let closed = false;
    setup = await harness.TestHarness.start((_request, socket) => {
      socket.once('close', () => {
        closed = true;
      });
    });
    await setup.send('/unsafe/1', {}, '', 50);
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    expect([closed, setup.outcomes]).to.deep.equal([true, ['cancelled']]);
  });

  it("answers at the route's timeout", async () => {
    setup = await harness.TestHarness.start(() => undefined);
    const startedAt = performance.now();
    const reply = await setup.send('/unsafe/1');
    expect(reply.status).to.equal(504);
    expect(performance.now() - startedAt).to.be.within(1_450, 1_900);
  });

  it('refuses keys while nothing is known to be fresh, and serves them after', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    setup.isFresh = false;
    expect((await setup.send('/safe/1')).status).to.equal(503);
    expect((await setup.send('/none/1')).status).to.equal(503);
    setup.isFresh = true;
    expect((await setup.send('/safe/1')).status).to.equal(200);
    expect((await setup.send('/none/1')).status).to.equal(404);
    expect(setup.received.length).to.equal(1);
  });

  /*
   * Callers would lose one of their few tries, all at once. All VMs lose power and come back; an entry takes
   * requests half a second before the keepers have a leader that can tell it the settings.
   */
  it('keeps requests that come just before the settings, and serves them', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    setup.hasCatalogue = false;
    setup.isFresh = false;
    const asked = setup.send('/safe/1', {}, 'body');
    setTimeout(() => {
      setup.hasCatalogue = true;
      setup.isFresh = true;
      setup.ingress.wake();
    }, 300);
    expect((await asked).body).to.equal('whole');
  });

  it('refuses as not run what the settings come too late for', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    setup.hasCatalogue = false;
    const startedAt = performance.now();
    const reply = await setup.send('/safe/1', {}, 'body');
    expect([reply.status, setup.received.length]).to.deep.equal([503, 0]);
    expect(performance.now() - startedAt).to.be.within(900, 1_300);
  });

  it('bounds what a caller may send', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    const statuses = [
      (await setup.send('/safe/1', { key: 'wrong' })).status,
      (await setup.send('/safe/1', { long: 'x'.repeat(3_000) })).status,
      (await setup.send('/safe/1', {}, 'x'.repeat(101))).status,
    ];
    expect([statuses, setup.received.length]).to.deep.equal([[401, 431, 413], 0]);
  });

  it('says which connection is its last when the entry leaves', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    setup.ingress.drain();
    const reply = await setup.send('/safe/1');
    expect([reply.status, reply.headers.connection]).to.deep.equal([200, 'close']);
  });

  /*
   * A reader would see a stream end midway. An entry stops; 4.5 s later a request comes on a connection that was
   * open, is sent to a target, and is cut when the process ends. The refusal lets its caller go elsewhere.
   */
  it('refuses what comes too late to be finished before a stop, and finishes the rest', async () => {
    const slow: harness.TargetBehaviour = (_request, socket) => {
      setTimeout(() => socket.write(harness.answer('whole')), 200);
    };
    setup = await harness.TestHarness.start(slow);
    const first = setup.send('/unsafe/1');
    const late = net.connect(setup.port, '127.0.0.1');
    late.write('POST /unsafe/2 HTTP/1.1\r\nHost: a.example\r\nid: r1\r\nkey: k\r\n');
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    setup.ingress.refuseNew();
    late.write('Content-Length: 0\r\n\r\n');
    const answered = await new Promise<string>((resolve) => {
      late.once('data', (data: Buffer) => resolve(data.toString()));
    });
    expect(answered).to.match(/^HTTP\/1.1 503 /);
    expect(answered).to.match(/Connection: close/i);
    expect((await first).body).to.equal('whole');
    expect(setup.received.length).to.equal(1);
    late.destroy();
  });
});
