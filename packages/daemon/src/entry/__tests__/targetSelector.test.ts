/** Where an entry's requests go when the leader that places them is slow, frozen or replaced. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import type * as holding from '../../fleet/holding';
import * as leaderLink from '../../fleet/leaderLink';
import * as messages from '../../fleet/messages';
import * as observer from '../../observability/observer';
import * as peerClient from '../../rpc/peerClient';
import * as peerServer from '../../rpc/peerServer';
import * as targetSelector from '../targetSelector';

const { expect } = chai;

const ENGINE: domain.catalogue.catalogue.Engine = {
  slots: 8,
  memoryTokens: 300_000,
  stepsPerPass: 50,
  stepMs: 1,
  writerStepMs: 0,
  contextStepMs: 0,
  readTokensPerMs: 100,
  pairMsPerMillion: 0,
  chunkTokens: 2_048,
  hopMs: 0,
  usualAnswerTokens: 100,
};

const SERVICE = { name: 's', healthPath: '/', maxConnections: 9, engine: ENGINE };

const RECORD: domain.registry.registry.Announcement = {
  id: 'local',
  service: 's',
  address: '127.0.0.1:1',
  dataCentre: 'east',
  slots: 8,
  state: 'ready',
  bornAt: 0,
  sequence: 1,
};

const PLACED: messages.PlaceAnswer = {
  kind: 'placed',
  placement: { target: 'led', address: '127.0.0.1:2', helpers: [], firstTokenMs: 1 },
};

function placementRequest(patienceMs: number): targetSelector.PlacementRequest {
  return {
    id: 'r1/0.0',
    service: 's',
    tokens: 1_000,
    answerTokens: 100,
    objectiveMs: 300,
    pauseMs: 250,
    waitedMs: 0,
    excluded: [],
    patienceMs,
  };
}

/** A prompt that takes nearly all memory of an engine. */
function longPrompt(patienceMs: number): targetSelector.PlacementRequest {
  return { ...placementRequest(patienceMs), tokens: 280_000, objectiveMs: 10_000, pauseMs: 1_000 };
}

function pause(ms: number): Promise<void> {
  return clock.pause(ms);
}

describe('chooser', () => {
  const observe = new observer.Observer('test', 'fatal', undefined);
  let server: peerServer.PeerServer;
  let client: peerClient.PeerClient;
  let link: leaderLink.LeaderLink;
  let selector: targetSelector.TargetSelector;
  let reported: messages.EndedDispatch[];

  /** How often the leader was asked for a sign of life. */
  let probes: number;

  /** How the leader behaves: after how long it answers each call; infinite for never. */
  let delays: { place: number; other: number };

  const after = async <T>(ms: number, answer: T): Promise<T> => {
    if (ms === Infinity) {
      return new Promise(() => {
        // Never settles: a frozen leader says nothing.
      });
    }
    await pause(ms);
    return answer;
  };

  beforeEach(async () => {
    delays = { place: 0, other: 0 };
    reported = [];
    probes = 0;
    server = new peerServer.PeerServer('a-secret-of-the-test', undefined, observe);
    server.add('place', () => after(delays.place, PLACED));
    server.add('identify', () => {
      probes += 1;
      return after(delays.other, {});
    });
    server.add('ended', (content) => {
      reported.push(...(content as messages.Ended).dispatches);
      return {};
    });
    const confirmed: messages.Confirmed = {
      kind: 'confirmed',
      keepers: [],
      entries: 1,
      lacksTargets: false,
      crowding: [],
      news: {
        edition: undefined,
        mark: messages.NO_MARK,
        since: undefined,
        records: [],
        suspects: [],
        limits: [],
      },
    };
    server.add('follow', () => after(delays.other, confirmed));
    const address = `127.0.0.1:${await server.listen({ host: '127.0.0.1', port: 0 })}`;
    client = new peerClient.PeerClient('a-secret-of-the-test', undefined, observe);
    const state = {
      directory: { service: () => SERVICE },
      registry: new domain.registry.registry.Registry(),
      limits: new domain.rateLimits.rateLimits.RateLimits(),
      suspectsToTell: () => [],
      takeNews: () => true,
    } as unknown as holding.Holding;
    link = new leaderLink.LeaderLink({
      name: 'entry',
      role: 'entry',
      address: '127.0.0.1:3',
      dataCentre: 'east',
      replica: () => undefined,
      seeds: [address],
      client,
      holding: state,
      observer: observe,
      moment: clock.moment,
      dispatches: () => [],
      onConfirmed: () => undefined,
    });
    selector = new targetSelector.TargetSelector({
      name: 'entry',
      dataCentre: 'east',
      holding: state,
      link,
      client,
      limits: {
        grant: async () => ({ kind: 'wait', waitMs: Infinity }),
        grantProbe: async () => undefined,
        spent: () => undefined,
      },
      signals: { unavailable: () => [], waitMs: () => 0 },
      observer: observe,
      random: domain.shared.random.seeded(1),
      now: clock.steady,
    });
    selector.fallback.setServices([SERVICE]);
    selector.fallback.observe(RECORD);
    link.start();
    while (link.leader === '') await pause(5);
  });

  afterEach(async () => {
    link.stop();
    client.close();
    await server.close();
  });

  async function place(
    patienceMs: number,
    more: Partial<targetSelector.PlacementRequest> = {},
  ): Promise<[string, number]> {
    const since = clock.steady();
    const choice = await selector.choose({ ...placementRequest(patienceMs), ...more });
    const where = choice.kind === 'placed' ? choice.placement.target : choice.kind;
    return [where, clock.steady() - since];
  }

  it('asks the leader, and waits for it while it gives signs of life', async () => {
    delays.place = 600;
    const [where, ms] = await place(1_000);
    expect([where, ms > 550, link.leader !== '']).to.deep.equal(['led', true, true]);
  });

  /*
   * All requests of an entry stood still for over a second. The leader's VM froze; each request waited for its
   * place as long as its caller bears, and only then was placed by the entry.
   */
  it('places by itself soon after the leader froze, however long the caller would wait', async () => {
    delays = { place: Infinity, other: Infinity };
    const [where, ms] = await place(3_000, { objectiveMs: 3_000 });
    expect(where).to.equal('local');
    expect(ms).to.be.within(300, 800);
    expect(link.leader).to.equal('');
  });

  /*
   * Each time a leader lost its power, the short prompts of the next half second came late: their entries were sure that it was
   * gone after 0.45 s, and callers want their first words within 0.3 s. One that must hurry doesn't wait until that is sure.
   */
  it('places a prompt that must hurry before it is sure that the leader is lost', async () => {
    delays = { place: Infinity, other: Infinity };
    const [where, ms] = await place(3_000);
    expect(where).to.equal('local');
    expect(ms).to.be.below(200);
  });

  /* Engines would fill unevenly if prompts that wait for a place at a living leader were placed by their entries. */
  it('leaves a prompt that must hurry to a leader that gives signs of life', async () => {
    delays.place = 400;
    const [where] = await place(1_000);
    expect(where).to.equal('led');
  });

  /** The leader is gone, and all memory of the only engine is taken. */
  async function loseLeaderAndFillEngine(): Promise<targetSelector.Choice> {
    delays.other = Infinity;
    link.doubt(link.leader);
    return selector.choose({ ...longPrompt(0), id: 'r0/0.0' });
  }

  /*
   * All keepers were off for a second. A manual of 280,000 tokens whose caller would wait fifteen seconds was refused at once, as
   * no engine had room at that moment; the caller came back after half a second and heard the same.
   */
  it('lets a prompt wait for a place while nobody leads', async () => {
    const first = await loseLeaderAndFillEngine();
    setTimeout(() => {
      if (first.kind === 'placed') first.release('done');
    }, 200);
    const choice = await selector.choose(longPrompt(2_000));
    expect([first.kind, choice.kind]).to.deep.equal(['placed', 'placed']);
  });

  it('asks a leader that is found while a prompt waits', async () => {
    await loseLeaderAndFillEngine();
    setTimeout(() => {
      delays.other = 0;
    }, 100);
    const choice = await selector.choose(longPrompt(2_000));
    expect(choice.kind === 'placed' ? choice.placement.target : choice.kind).to.equal('led');
    // Under an id of its own: a place that a leader gave for an earlier question is given back by that one's.
    expect(selector.dispatches.map(({ request: { id } }) => id)).to.not.include('r1/0.0');
  });

  it('says when to come back where no place came free in time', async () => {
    await loseLeaderAndFillEngine();
    const since = clock.steady();
    const choice = await selector.choose(longPrompt(150));
    expect(choice.kind === 'noPlace' && choice.retryAfterMs).to.be.within(200, 2_000);
    expect(clock.steady() - since).to.be.within(140, 600);
  });

  /*
   * Engines seemed full that stood idle. A leader answered after the entry had gone on without it, and counted a
   * dispatch that nobody ended.
   */
  it('gives a place back that comes too late', async () => {
    delays.place = 500;
    const [where] = await place(100);
    expect(where).to.equal('local');
    await pause(500);
    expect(reported.map(({ id, ending }) => [id, ending])).to.deep.equal([['r1/0.0', 'cancelled']]);
  });

  /*
   * A busy leader was asked for signs of life a thousand times a second, and had no time left for places. Each prompt that
   * waited a little asked by itself; one sign serves all that wait at an entry.
   */
  it('asks a busy leader for one sign of life at a time, however many wait', async () => {
    delays.place = 1_000;
    const waiting: Promise<unknown>[] = [];
    for (let i = 0; i < 8; i++) {
      waiting.push(place(2_000));
      await pause(50);
    }
    await Promise.all(waiting);
    // The first after 150 ms, the last after 1.4 s, and 300 ms between them.
    expect(probes).to.be.within(2, 5);
  });
});
