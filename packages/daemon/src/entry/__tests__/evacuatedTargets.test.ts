/** What an entry sends, and what it refuses, while data centres are evacuated. */
import * as chai from 'chai';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const RESPOND: harness.TargetBehaviour = (request, socket) => {
  socket.write(harness.answerTo(request, 'whole'));
};

describe('an entry during evacuations', () => {
  let setup: harness.TestHarness;

  afterEach(() => setup.stop());

  /** Evacuates the data centres of these targets. */
  function evacuate(...indices: number[]): void {
    const evacuations = indices.map((i) => {
      return { dataCentre: `dc${i}`, startedAt: 0, requestedBy: '' };
    });
    setup.evacuations.replace({ revision: setup.evacuations.revision + 1, evacuations });
  }

  /** Guards against a placement from before the order that is used after it. */
  it('places a request again whose placement is older than the order', async () => {
    setup = await harness.TestHarness.start(RESPOND, RESPOND);
    setup.placementDelayMs = 100;
    const pending = setup.send('/unsafe/1');
    setTimeout(() => evacuate(0), 50);
    const reply = await pending;
    expect([reply.body, setup.outcomes]).to.deep.equal(['whole', ['cancelled', 'done']]);
    expect(setup.received).to.have.length(1);
    expect(setup.received[0]).to.include('target: t1');
    // The leader counts each placement by its own id.
    expect(setup.placementRequests.map(({ id }) => id)).to.deep.equal(['r1/1', 'r1/2']);
  });

  /** Guards against a repeat that is sent to an evacuated target after the first target broke off. */
  it('sends a repeat past evacuated targets', async () => {
    const fail: harness.TargetBehaviour = (_request, socket) => {
      evacuate(1);
      socket.resetAndDestroy();
    };
    setup = await harness.TestHarness.start(fail, RESPOND, RESPOND);
    const reply = await setup.send('/safe/1');
    expect([
      reply.body,
      setup.received.map((each) => /target: (\w+)/.exec(each)?.[1]),
    ]).to.deep.equal(['whole', ['t0', 't2']]);
  });

  /** Guards against the opposite faults: a stream that the order cuts, and one that resumes on an evacuated target. */
  it('finishes a running stream, and resumes an interrupted one elsewhere', async () => {
    const event = (i: number): string => harness.chunk(`id: ${i}\ndata: a\n\n`);
    const cutAfterOrder: harness.TargetBehaviour = (_request, socket) => {
      socket.write(harness.STREAM_HEAD + event(1));
      setTimeout(() => evacuate(0, 1), 50);
      setTimeout(() => socket.write(event(2)), 100);
      setTimeout(() => socket.resetAndDestroy(), 150);
    };
    const rest: harness.TargetBehaviour = (_request, socket) => {
      socket.write(harness.STREAM_HEAD + event(3) + harness.LAST_CHUNK);
    };
    setup = await harness.TestHarness.start(cutAfterOrder, RESPOND, rest);
    const reply = await setup.send('/streaming/1');
    expect(reply.body.match(/id: \d/g)).to.deep.equal(['id: 1', 'id: 2', 'id: 3']);
    expect(setup.received).to.have.length(2);
    expect(setup.received[1]).to.include('target: t2').and.include('resume-after: 2');
  });

  /** Guards against a leader that doesn't know the order and places there again and again. */
  it('pauses between placements that are withheld repeatedly', async () => {
    setup = await harness.TestHarness.start(RESPOND);
    setup.isLeaderBehind = true;
    evacuate(0);
    setTimeout(() => evacuate(), 350);
    const reply = await setup.send('/safe/1');
    expect([reply.body, setup.received.length]).to.deep.equal(['whole', 1]);
    expect(setup.placementRequests.length).to.be.within(4, 6);
  });

  /**
   * Guards against memory that is reserved on an evacuated helper, and against a prompt that is given up because of it;
   * then against a part on a helper without a reservation.
   */
  [100, 0].forEach((keptTokens) => {
    it(`places a prompt again whose helper is evacuated and keeps ${keptTokens} tokens`, async () => {
      const targets = Array.from({ length: 4 }, () => RESPOND);
      setup = await harness.TestHarness.start(...targets);
      setup.helper = { keptTokens, ids: ['t2', 't3'] };
      setup.placementDelayMs = 100;
      const pending = setup.send('/safe/1');
      setTimeout(() => evacuate(2), 50);
      expect((await pending).body).to.equal('whole');
      expect(setup.messagesTo(2)).to.equal(0);
      expect(setup.messagesTo(3) > 0).to.equal(keptTokens > 0);
      expect(setup.outcomes).to.deep.equal(['cancelled', 'done']);
    });
  });
});
