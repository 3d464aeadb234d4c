/** What callers receive, and what reaches targets, when targets fail in various ways. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as clock from '../../clock';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const RESPOND: harness.TargetBehaviour = (request, socket) =>
  socket.write(harness.answerTo(request, 'whole'));

describe('exchange', () => {
  let setup: harness.TestHarness;

  afterEach(() => setup.stop());

  it('forwards a response unchanged', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    const reply = await setup.send('/unsafe/1', {}, 'body');
    expect([reply.status, reply.body, reply.headers.signed]).to.deep.equal([200, 'whole', '1']);
    expect(setup.outcomes).to.deep.equal(['done']);
  });

  /*
   * Guards against an unsafe call, such as a booking, that runs twice. The target reads the call and its connection
   * breaks. The call may have run, so it is neither repeated nor refused with a status that means it did not run.
   */
  it('never repeats an unsafe call that may have run, and guarantees nothing', async () => {
    setup = await harness.TestHarness.start(
      (_request, socket) => socket.resetAndDestroy(),
      RESPOND,
    );
    const reply = await setup.send('/unsafe/1');
    expect([reply.status, setup.received.length]).to.deep.equal([502, 1]);
  });

  // Guards against a caller that waits for an answer until its own timeout after an unexpected error of the entry.
  it('answers after an unexpected error, and reports that the call did not run', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    setup.placementError = new Error('unexpected');
    const reply = await setup.send('/unsafe/1');
    expect([reply.status, setup.received.length]).to.deep.equal([503, 0]);
  });

  it('reports that an unsafe call did not run if the target states so', async () => {
    const refuse = harness.answer('', 503, 'not-run: 1\r\n');
    setup = await harness.TestHarness.start((_request, socket) => socket.write(refuse), RESPOND);
    const reply = await setup.send('/unsafe/1');
    expect([reply.status, setup.received.length]).to.deep.equal([503, 1]);
    expect(Number(reply.headers['retry-after'])).to.be.greaterThan(0);
  });

  /*
   * Guards against telling a caller that a call did not run although it may have: a faulty target responds with 503 but
   * doesn't state that it didn't run the request.
   */
  it("doesn't forward a 503 that doesn't state that the call did not run", async () => {
    setup = await harness.TestHarness.start((_request, socket) =>
      socket.write(harness.answer('', 503)),
    );
    expect((await setup.send('/unsafe/1')).status).to.equal(502);
  });

  /*
   * Guards against an unsafe call that fails although two of three targets are healthy: the third had crashed and
   * refused the connection, which used up the call's only attempt.
   */
  it('sends an unsafe call to another target if one is unreachable', async () => {
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
   * Guards against a request that fails ten seconds before its deadline: its first target was full, and the second one
   * refused because its prefill helper had died. A route allows two targets, but a target that refused may be tried
   * again.
   */
  it('returns to a target that refused if no further target is allowed', async () => {
    const refuse = harness.answer('', 503, 'not-run: 1\r\n');
    let requests = 0;
    const succeedOnRetry: harness.TargetBehaviour = (_request, socket) => {
      requests += 1;
      socket.write(requests === 1 ? refuse : harness.answer('whole'));
    };
    setup = await harness.TestHarness.start(succeedOnRetry, (_request, socket) =>
      socket.write(refuse),
    );
    const reply = await setup.send('/safe/1');
    expect([reply.body, setup.outcomes]).to.deep.equal(['whole', ['full', 'full', 'done']]);
    expect(setup.placementRequests[2].writers).to.deep.equal(['t0', 't1']);
  });

  /** Guards against a stream that is given up at the first unreachable target although another one is available. */
  it('resumes a stream past a target that is unreachable, or that refuses it', async () => {
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
    let requests = 0;
    const succeedOnRetry: harness.TargetBehaviour = (request, socket) => {
      requests += 1;
      if (requests === 1) socket.write(refuse);
      else rest(request, socket);
    };
    setup = await harness.TestHarness.start(cut, succeedOnRetry);
    const again = await setup.send('/streaming/1');
    expect([again.body, again.isWhole]).to.deep.equal(whole);
  });

  /** Guards against a leader that can't tell callers apart, and against new fields where the mode isn't set. */
  it('states the caller and its time left only in mode adaptive', async () => {
    const stream = harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n') + harness.LAST_CHUNK;
    setup = await harness.TestHarness.start((_request, socket) => socket.write(stream));
    await setup.send('/streaming/1');
    setup.contentionMode = 'adaptive';
    await setup.send('/streaming/1');
    await setup.send('/unsafe/1');
    const [usual, ofStream, call] = setup.placementRequests;
    expect(usual).to.not.have.any.keys('organisation', 'urgency', 'content', 'leavesInMs');
    expect(ofStream.content).to.be.a('string').and.not.equal(call.content);
    expect(ofStream.leavesInMs).to.be.within(1_000, 1_500);
    expect(call).to.not.have.any.keys('urgency', 'leavesInMs');
  });

  /** Guards against a request that is placed before its target asks this VM to back off, and sent afterwards. */
  it('selects another target if the first is in back-off by the time the request is sent', async () => {
    const refuse = harness.answer('', 503, 'not-run: 1\r\nback-off: 2000\r\n');
    setup = await harness.TestHarness.start((_request, socket) => socket.write(refuse), RESPOND);
    setup.placementDelayMs = 60;
    const first = setup.send('/unsafe/1');
    await clock.sleep(40);
    const second = setup.send('/unsafe/1');
    expect([(await first).status, (await second).body]).to.deep.equal([503, 'whole']);
    expect(setup.outcomes).to.deep.equal(['full', 'cancelled', 'done']);
    expect(setup.received.length).to.equal(2);
  });

  /*
   * Guards against a target that restarted at the same address, which each request detects anew: the refusal by the new
   * lifetime was mistaken for that of a full target, and not reported.
   */
  it('reports which lifetime was replaced when another one responded', async () => {
    const other = harness.answer('', 421, 'not-run: 1\r\n');
    setup = await harness.TestHarness.start((_request, socket) => socket.write(other), RESPOND);
    await setup.send('/safe/1');
    expect(setup.outcomes).to.deep.equal(['replaced', 'done']);
  });

  it('tries a limited number of unreachable targets', async () => {
    setup = await harness.TestHarness.start(RESPOND, RESPOND, RESPOND, RESPOND, RESPOND);
    for (let i = 0; i < 4; i++) await setup.crash(i);
    expect((await setup.send('/unsafe/1')).status).to.equal(503);
    expect(setup.outcomes.length).to.equal(3);
  });

  /*
   * Guards against refusals on idle engines, one request in twenty. A route allowed more time than its callers wait,
   * and the difference was counted as time already waited, so each request counted as late from the start.
   */
  it("doesn't count a caller's short timeout as time already waited", async () => {
    setup = await harness.TestHarness.start(RESPOND);
    await setup.send('/safe/1', { patience: '900' });
    expect(setup.placementRequests[0].waitedMs).to.be.lessThan(100);
  });

  /*
   * Guards against a stream that is aborted midway although engines are free. The target interrupted it after 1.8 s,
   * and the time since its arrival was counted as a wait of six objectives, for which no engine is assigned.
   */
  it('counts no wait for a stream that resumes elsewhere, and no more than the objective otherwise', async () => {
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
   * Guards against a stream that ends with another target's error page as its last text and looks complete. Its first
   * target failed midway, and the one that was to resume it responded with an error status.
   */
  [500, 404].forEach((status) => {
    it(`doesn't end a stream with the ${status} of the target that was to resume it`, async () => {
      const fails: harness.TargetBehaviour = (_request, socket) =>
        socket.write(harness.answer('failed', status));
      const cut: harness.TargetBehaviour = (request, socket) => {
        if (request.includes('resume-after')) {
          fails(request, socket);
          return;
        }
        socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
        setTimeout(() => socket.resetAndDestroy(), 50);
      };
      setup = await harness.TestHarness.start(cut, fails);
      const reply = await setup.send('/streaming/1');
      expect([reply.status, reply.isWhole, reply.body]).to.deep.equal([
        200,
        false,
        'id: 1\ndata: a\n\n',
      ]);
    });
  });

  it('sends a safe call to another target when the first fails', async () => {
    setup = await harness.TestHarness.start(
      (_request, socket) => socket.write(harness.answer('broken', 500)),
      RESPOND,
    );
    expect((await setup.send('/safe/1')).body).to.equal('whole');
    expect(setup.outcomes).to.deep.equal(['broken', 'done']);
  });

  it('gives up a target that does not respond to a safe call', async () => {
    setup = await harness.TestHarness.start(() => undefined, RESPOND);
    expect((await setup.send('/safe/1')).body).to.equal('whole');
  });

  /*
   * Guards against a caller that receives another caller's response: a target sends the late response to an earlier
   * request where that to the next one is expected.
   */
  it('never forwards a response to another request', async () => {
    const other = harness.answer('other').replace('id: r1', 'id: r0');
    setup = await harness.TestHarness.start((_request, socket) => socket.write(other));
    const reply = await setup.send('/unsafe/1');
    expect([reply.status, reply.body]).to.deep.equal([502, '']);
  });

  /*
   * Guards against a repeated or missing part of a stream. The target crashes in the middle of an event; the stream
   * resumes at another target after the last complete one, within the same response.
   */
  it('resumes a stream after its last complete event', async () => {
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
   * Guards against a second prefill of a long prompt whose engine is about to respond. The engine is overdue by its
   * prediction but alive, so the entry probes it before giving up.
   */
  it('keeps waiting for a target that is overdue but alive', async () => {
    const busy: harness.TargetBehaviour = (request, socket) => {
      if (request.includes(harness.REPORT_PATH)) socket.write(harness.answerTo(request, '{}'));
      else setTimeout(() => socket.write(stream), 1_200);
    };
    const stream = `${harness.STREAM_HEAD}${harness.chunk('id: 1\ndata: a\n\n')}${harness.LAST_CHUNK}`;
    setup = await harness.TestHarness.start(busy, RESPOND);
    const reply = await setup.send('/streaming/1');
    expect([reply.body, setup.outcomes]).to.deep.equal(['id: 1\ndata: a\n\n', ['done']]);
  });

  /*
   * Guards against callers that wait for seconds on an unresponsive engine, which accepts bytes but sends nothing. It
   * doesn't respond to the liveness probe either, so another engine gets the request.
   */
  it('gives up a dead target as soon as it is overdue', async () => {
    const stream = `${harness.STREAM_HEAD}${harness.chunk('id: 1\ndata: a\n\n')}${harness.LAST_CHUNK}`;
    setup = await harness.TestHarness.start(
      () => undefined,
      harness.answeringProbes((_request, socket) => socket.write(stream)),
    );
    const since = performance.now();
    const reply = await setup.send('/streaming/1');
    expect([reply.body, setup.outcomes]).to.deep.equal(['id: 1\ndata: a\n\n', ['broken', 'done']]);
    expect(performance.now() - since).to.be.lessThan(950);
  });

  // Guards against a stream that is cut although its target is sound: all targets are silent for a second.
  it('keeps a stream on its silent target while no other one responds', async () => {
    const silentUntil = performance.now() + 1_250;
    const first: harness.TargetBehaviour = (request, socket) => {
      if (request.includes(harness.REPORT_PATH)) return;
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
      const rest = harness.chunk('id: 2\ndata: b\n\n') + harness.LAST_CHUNK;
      setTimeout(() => socket.write(rest), silentUntil - performance.now());
    };
    setup = await harness.TestHarness.start(first, () => undefined);
    const reply = await setup.send('/streaming/1');
    expect([reply.body, reply.isWhole]).to.deep.equal([
      'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
      true,
    ]);
    expect(setup.received.length).to.equal(1);
  });

  /** A stream whose target is silent for a while after its first event, when `interlude` is called. */
  const pausing =
    (interlude: () => void): harness.TargetBehaviour =>
    (request, socket) => {
      if (request.includes(harness.REPORT_PATH)) return;
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
      interlude();
      setTimeout(() => socket.write(REST), 1_500);
    };
  const REST = harness.chunk('id: 2\ndata: b\n\n') + harness.LAST_CHUNK;
  const WHOLE = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

  // Guards against a stream that is cut because the helpers of its next target have no memory, while its own one is sound.
  it('keeps a stream on its silent target until the next one has its memory', async () => {
    const first = pausing(() => {
      setup.helper = { keptTokens: 10, ids: ['t2'] };
    });
    const second = harness.answeringProbes(() => undefined);
    const full: harness.TargetBehaviour = (_request, socket) => {
      socket.write('HTTP/1.1 409 X\r\nsigned: 1\r\nContent-Length: 0\r\n\r\n');
    };
    setup = await harness.TestHarness.start(first, second, full);
    const reply = await setup.send('/long/1', { patience: '4000' });
    expect([reply.body, reply.isWhole]).to.deep.equal([WHOLE, true]);
  });

  // Guards against a stream that is cut as it may not run at its next target yet, while its own one is sound.
  it('keeps a suspect stream on its silent target', async () => {
    const first = pausing(() => setup.suspect('POST', '/long/1', ''));
    const second = harness.answeringProbes((_request, socket) =>
      socket.write(harness.STREAM_HEAD + REST),
    );
    setup = await harness.TestHarness.start(first, second);
    const reply = await setup.send('/long/1', { patience: '4000' });
    expect([reply.body, reply.isWhole, setup.received.length]).to.deep.equal([WHOLE, true, 1]);
  });

  // Guards against a stream that is cut by a short quarantine of a part that it shares, when its target crashes.
  it('continues a stream once a part of its prompt leaves the quarantine', async () => {
    const first: harness.TargetBehaviour = (_request, socket) => {
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
      setTimeout(() => {
        setup.quarantinePart('system', 500);
        socket.resetAndDestroy();
      }, 50);
    };
    const second = harness.answeringProbes((_request, socket) =>
      socket.write(harness.STREAM_HEAD + REST),
    );
    setup = await harness.TestHarness.start(first, second);
    const reply = await setup.send('/long/1', { parts: 'system:10,own:5' });
    expect([reply.body, reply.isWhole]).to.deep.equal([WHOLE, true]);
  });

  // Guards against the end of a discarded placement that is taken for that of the one in use.
  it('gives each placement an id of its own, also while its target breaks off during a search', async () => {
    const first: harness.TargetBehaviour = (request, socket) => {
      if (request.includes(harness.REPORT_PATH)) return;
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
      setTimeout(() => socket.resetAndDestroy(), 1_100);
    };
    const second: harness.TargetBehaviour = (request, socket) => {
      if (request.includes(harness.REPORT_PATH)) return;
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 2\ndata: b\n\n') + harness.LAST_CHUNK);
    };
    setup = await harness.TestHarness.start(first, second);
    expect((await setup.send('/long/1')).isWhole).to.equal(true);
    const ids = setup.placementRequests.map(({ id }) => id);
    expect(ids.length).to.be.above(2);
    expect(new Set(ids).size).to.equal(ids.length);
  });

  // Guards against a stream that is cut because no target is free at the moment at which its own one crashes.
  it('continues a stream whose target crashed once another one is free', async () => {
    const crashing: harness.TargetBehaviour = (_request, socket) => {
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
      setTimeout(() => socket.resetAndDestroy(), 20);
      setup.isFull = true;
      setTimeout(() => {
        setup.isFull = false;
      }, 600);
    };
    const rest: harness.TargetBehaviour = (_request, socket) =>
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 2\ndata: b\n\n') + harness.LAST_CHUNK);
    setup = await harness.TestHarness.start(crashing, rest);
    const reply = await setup.send('/streaming/1');
    expect([reply.body, reply.isWhole]).to.deep.equal([
      'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
      true,
    ]);
  });

  // Guards against a stream that is cut as its last target's connection got a late answer, while its first one is sound.
  it('returns a stream that has begun to a target that it was sent to if no further one is allowed', async () => {
    let requests = 0;
    const resetting: harness.TargetBehaviour = (_request, socket) => {
      requests += 1;
      if (requests > 1) {
        socket.write(harness.STREAM_HEAD + REST);
        return;
      }
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
      setTimeout(() => socket.resetAndDestroy(), 20);
    };
    const foreign: harness.TargetBehaviour = (_request, socket) =>
      socket.write(harness.answer('', 503, 'not-run: 1\r\n', 'r0'));
    setup = await harness.TestHarness.start(
      harness.answeringProbes(resetting),
      harness.answeringProbes(foreign),
      harness.answeringProbes(RESPOND),
    );
    const reply = await setup.send('/long/1');
    expect([reply.body, reply.isWhole]).to.deep.equal([WHOLE, true]);
    expect(setup.messagesTo(2)).to.equal(0);
  });

  // Guards against a stream without an end although its only target is sound again, as it isn't sent there a second time.
  it('returns a stream that has begun to its target if the service has no other', async () => {
    let requests = 0;
    const resetting: harness.TargetBehaviour = (_request, socket) => {
      requests += 1;
      if (requests > 1) {
        socket.write(harness.STREAM_HEAD + REST);
        return;
      }
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
      setTimeout(() => socket.resetAndDestroy(), 20);
    };
    setup = await harness.TestHarness.start(harness.answeringProbes(resetting));
    const reply = await setup.send('/streaming/1');
    expect([reply.body, reply.isWhole]).to.deep.equal([WHOLE, true]);
  });

  // Guards against a stream without an end although other targets are free, as those that it was sent to have crashed.
  it('sends a stream that has begun to another target once one that it was sent to is gone', async () => {
    const crashing =
      (index: number): harness.TargetBehaviour =>
      (_request, socket) => {
        socket.write(harness.STREAM_HEAD + harness.chunk(`id: ${index + 1}\ndata: a\n\n`));
        setTimeout(() => {
          socket.resetAndDestroy();
          void setup.crash(index);
        }, 20);
        setTimeout(() => setup.restart(index), 300);
      };
    const rest: harness.TargetBehaviour = (_request, socket) =>
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 3\ndata: b\n\n') + harness.LAST_CHUNK);
    setup = await harness.TestHarness.start(crashing(0), crashing(1), rest);
    const reply = await setup.send('/streaming/1');
    expect([reply.body, reply.isWhole]).to.deep.equal([
      'id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: b\n\n',
      true,
    ]);
  });

  /*
   * Guards against an immediate 502 for one of two equal requests that ran on a target when it crashed. The other one
   * made its canary run on a free target, and showed a moment later that both may run.
   */
  it('lets a copy that a crash interrupted wait for the canary run of the other one', async () => {
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

  it('aborts a stream that no target can resume', async () => {
    const half: harness.TargetBehaviour = (_request, socket) => {
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
      setTimeout(() => socket.resetAndDestroy(), 20);
    };
    setup = await harness.TestHarness.start(half, half);
    const reply = await setup.send('/streaming/1');
    expect([reply.status, reply.isWhole]).to.deep.equal([200, false]);
  });

  // Guards against a stream that no target can resume, and that spends the retries of all other requests of its service.
  it('returns a stream to targets that fail ever more rarely', async () => {
    const half: harness.TargetBehaviour = (_request, socket) => {
      socket.write(harness.STREAM_HEAD + harness.chunk('id: 1\ndata: a\n\n'));
      setTimeout(() => socket.resetAndDestroy(), 20);
    };
    setup = await harness.TestHarness.start(half, half);
    const reply = await setup.send('/long/1', { patience: '3000' });
    expect([reply.status, reply.isWhole]).to.deep.equal([200, false]);
    expect(setup.received.length).to.be.within(3, 7);
  });

  it('closes the connection to the target when the caller disconnects', async () => {
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

  it("responds at the route's timeout", async () => {
    setup = await harness.TestHarness.start(() => undefined);
    const startedAt = performance.now();
    const reply = await setup.send('/unsafe/1');
    expect(reply.status).to.equal(504);
    expect(performance.now() - startedAt).to.be.within(1_450, 1_900);
  });

  it('refuses keys while settings are not confirmed fresh, and serves them afterwards', async () => {
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
   * Guards against callers that all lose one of their few tries at once. After a power loss of all VMs an entry accepts
   * requests half a second before the keepers have a leader that can send it the settings.
   */
  it('holds requests that arrive just before the settings, and serves them', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    setup.hasCatalogue = false;
    setup.isFresh = false;
    const pending = setup.send('/safe/1', {}, 'body');
    setTimeout(() => {
      setup.hasCatalogue = true;
      setup.isFresh = true;
      setup.ingress.wake();
    }, 300);
    expect((await pending).body).to.equal('whole');
  });

  it('refuses a request as not run if the settings come too late', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    setup.hasCatalogue = false;
    const startedAt = performance.now();
    const reply = await setup.send('/safe/1', {}, 'body');
    expect([reply.status, setup.received.length]).to.deep.equal([503, 0]);
    expect(performance.now() - startedAt).to.be.within(900, 1_300);
  });

  /*
   * Guards against memory that stays set aside after its request: the engine went dark, and as its response was still
   * awaited, the helper's reservation was renewed.
   */
  it('renews memory on a helper only while its engine responds', async () => {
    const confirm: harness.TargetBehaviour = (_request, socket) =>
      socket.write(harness.answer('').replace('id: r1\r\n', ''));
    const messagesToHelper = async (answersProbes: boolean): Promise<number> => {
      const engine: harness.TargetBehaviour = (request, socket) => {
        if (answersProbes && request.includes(harness.REPORT_PATH)) confirm(request, socket);
      };
      setup = await harness.TestHarness.start(engine, confirm);
      setup.helper = { keptTokens: 9, ids: ['t1'] };
      expect((await setup.send('/unsafe/1')).status).to.equal(504);
      await clock.sleep(50);
      setup.stop();
      return setup.messagesTo(1);
    };
    // A reservation and its release, with a renewal between them if the engine responds.
    expect([await messagesToHelper(true), await messagesToHelper(false)]).to.deep.equal([3, 2]);
  });

  it('limits what a caller may send', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    const statuses = [
      (await setup.send('/safe/1', { key: 'wrong' })).status,
      (await setup.send('/safe/1', { long: 'x'.repeat(3_000) })).status,
      (await setup.send('/safe/1', {}, 'x'.repeat(101))).status,
    ];
    expect([statuses, setup.received.length]).to.deep.equal([[401, 431, 413], 0]);
  });

  it('closes connections after their next response when the entry drains', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    setup.ingress.drain();
    const reply = await setup.send('/safe/1');
    expect([reply.status, reply.headers.connection]).to.deep.equal([200, 'close']);
  });

  /*
   * Guards against a stream that ends midway because the entry stops: 4.5 s after the stop began, a request arrived on
   * an open connection, was sent to a target, and was interrupted by the end of the process. A refusal lets its caller
   * go elsewhere.
   */
  it('refuses requests that arrive too late to be finished before a stop, and finishes the others', async () => {
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

  // Guards against an unsafe call that is refused as not run when the entry stops, and runs all the same.
  it('never runs a call that it has refused at its stop', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    const caller = net.connect(setup.port, '127.0.0.1');
    let text = '';
    caller.on('data', (data) => {
      text += data.toString();
    });
    const head = 'POST /unsafe/1 HTTP/1.1\r\nhost: a.example\r\nid: r1\r\nkey: k\r\n';
    caller.write(`${head}Content-Length: 4\r\n\r\nbo`);
    await clock.sleep(50);
    setup.isFresh = false;
    const waiting = setup.send('/unsafe/1', {}, 'body');
    await clock.sleep(50);
    setup.ingress.abort();
    setup.isFresh = true;
    setup.ingress.wake();
    caller.write('dy');
    const { status } = await waiting;
    await clock.sleep(200);
    caller.destroy();
    expect([/ 503 /.test(text), status, setup.received.length]).to.deep.equal([true, 503, 0]);
  });
});
