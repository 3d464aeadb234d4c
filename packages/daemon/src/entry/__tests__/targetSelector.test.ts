/** Target selection while the leader that places requests is slow, frozen or replaced. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import type * as fleetState from '../../fleet/fleetState';
import * as leaderLink from '../../fleet/leaderLink';
import * as messages from '../../fleet/messages';
import * as observer from '../../observability/observer';
import * as peerClient from '../../rpc/peerClient';
import * as peerServer from '../../rpc/peerServer';
import type * as placementChoice from '../placementChoice';
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

function placementRequest(patienceMs: number): placementChoice.PlacementRequest {
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

/** A prompt that takes nearly all the memory of an engine. */
function longPrompt(patienceMs: number): placementChoice.PlacementRequest {
  return { ...placementRequest(patienceMs), tokens: 280_000, objectiveMs: 10_000, pauseMs: 1_000 };
}

function sleep(ms: number): Promise<void> {
  return clock.sleep(ms);
}

describe('target selector', () => {
  const observe = new observer.Observer('test', 'fatal', undefined);
  let server: peerServer.PeerServer;
  let client: peerClient.PeerClient;
  let link: leaderLink.LeaderLink;
  let selector: targetSelector.TargetSelector;
  let reported: messages.FinishedDispatch[];

  let registry: domain.registry.registry.Registry;

  /** Number of liveness probes that the leader received. */
  let probes: number;

  /** Targets that are unavailable, with the time until each becomes available. */
  let unavailableForMs: Map<string, number>;

  /** Delay of the leader's answers to each call, milliseconds; infinite for no answer. */
  let delays: { place: number; other: number };

  const answerAfter = async <T>(ms: number, answer: T): Promise<T> => {
    if (ms === Infinity) {
      return new Promise(() => {
        // Never settles: a frozen leader doesn't answer.
      });
    }
    await sleep(ms);
    return answer;
  };

  beforeEach(async () => {
    delays = { place: 0, other: 0 };
    reported = [];
    probes = 0;
    unavailableForMs = new Map();
    server = new peerServer.PeerServer('a-secret-of-the-test', undefined, observe);
    server.add('place', () => answerAfter(delays.place, PLACED));
    server.add('identify', () => {
      probes += 1;
      return answerAfter(delays.other, {});
    });
    server.add('ended', (content) => {
      reported.push(...(content as messages.FinishedDispatches).dispatches);
      return {};
    });
    const confirmed: messages.Confirmation = {
      kind: 'confirmed',
      keepers: [],
      entries: 1,
      lacksTargets: false,
      crowding: [],
      news: {
        edition: undefined,
        mark: messages.NO_VERSION,
        since: undefined,
        records: [],
        suspects: [],
        limits: [],
      },
    };
    server.add('follow', () => answerAfter(delays.other, confirmed));
    const address = `127.0.0.1:${await server.listen({ host: '127.0.0.1', port: 0 })}`;
    client = new peerClient.PeerClient('a-secret-of-the-test', undefined, observe);
    registry = new domain.registry.registry.Registry();
    const state = {
      directory: { service: () => SERVICE },
      registry,
      limits: new domain.rateLimits.rateLimits.RateLimits(),
      evacuations: new domain.evacuation.evacuations.Evacuations(),
      reportableSuspects: () => [],
      applyUpdate: () => true,
    } as unknown as fleetState.FleetState;
    link = new leaderLink.LeaderLink({
      name: 'entry',
      role: 'entry',
      address: '127.0.0.1:3',
      dataCentre: 'east',
      replica: () => undefined,
      seeds: [address],
      client,
      fleetState: state,
      observer: observe,
      readClocks: clock.readClocks,
      dispatches: () => [],
      onConfirmed: () => undefined,
    });
    selector = new targetSelector.TargetSelector({
      name: 'entry',
      dataCentre: 'east',
      fleetState: state,
      link,
      client,
      limits: {
        grant: async () => ({ kind: 'wait', waitMs: Infinity }),
        grantProbe: async () => undefined,
        spent: () => undefined,
      },
      unavailableTargets: {
        of: () => [...unavailableForMs.keys()],
        waitMs: (target) => unavailableForMs.get(target) ?? 0,
      },
      observer: observe,
      random: domain.shared.random.seeded(1),
      now: clock.steady,
    });
    selector.fallback.setServices([SERVICE]);
    selector.fallback.observe(RECORD);
    link.start();
    while (link.leader === '') await sleep(5);
  });

  afterEach(async () => {
    link.stop();
    client.close();
    await server.close();
  });

  async function place(
    patienceMs: number,
    more: Partial<placementChoice.PlacementRequest> = {},
  ): Promise<[string, number]> {
    const since = clock.steady();
    const choice = await selector.choose({ ...placementRequest(patienceMs), ...more });
    const where = choice.kind === 'placed' ? choice.placement.target : choice.kind;
    return [where, clock.steady() - since];
  }

  it('waits for the leader while it passes liveness probes', async () => {
    delays.place = 600;
    const [where, ms] = await place(1_000);
    expect([where, ms > 550, link.leader !== '']).to.deep.equal(['led', true, true]);
  });

  /*
   * Guards against requests that stall when the leader's VM freezes: for over a second, all requests of an entry waited
   * for the leader up to their callers' limits before the entry placed them itself.
   */
  it('places locally soon after the leader froze, whatever the wait limit', async () => {
    delays = { place: Infinity, other: Infinity };
    const [where, ms] = await place(3_000, { objectiveMs: 3_000 });
    expect(where).to.equal('local');
    expect(ms).to.be.within(300, 800);
    expect(link.leader).to.equal('');
  });

  /*
   * Guards against short prompts that miss their objective of 0.3 s after the leader loses power: entries detect its
   * loss only after 0.45 s.
   */
  it('places a prompt with a short objective before the loss of the leader is certain', async () => {
    delays = { place: Infinity, other: Infinity };
    const [where, ms] = await place(3_000);
    expect(where).to.equal('local');
    expect(ms).to.be.below(200);
  });

  /*
   * Guards against engines that fill unevenly because entries place prompts that wait for a placement at a live leader.
   */
  it('leaves a prompt with a short objective to a leader that passes liveness probes', async () => {
    delays.place = 400;
    const [where] = await place(1_000);
    expect(where).to.equal('led');
  });

  /** Loses the leader, and takes all memory of the only engine. */
  async function loseLeaderAndFillEngine(): Promise<placementChoice.Choice> {
    delays.other = Infinity;
    link.reportFailure(link.leader);
    return selector.choose({ ...longPrompt(0), id: 'r0/0.0' });
  }

  /*
   * Guards against an immediate refusal while there is no leader. With all keepers down for a second, a prompt of
   * 280,000 tokens whose caller would wait fifteen seconds was refused twice, because no engine had room at that
   * moment.
   */
  it('lets a prompt wait for a placement while there is no leader', async () => {
    const first = await loseLeaderAndFillEngine();
    setTimeout(() => {
      if (first.kind === 'placed') first.release('done');
    }, 200);
    const choice = await selector.choose(longPrompt(2_000));
    expect([first.kind, choice.kind]).to.deep.equal(['placed', 'placed']);
  });

  it('asks a leader that is elected while a prompt waits', async () => {
    await loseLeaderAndFillEngine();
    setTimeout(() => {
      delays.other = 0;
    }, 100);
    const choice = await selector.choose(longPrompt(2_000));
    expect(choice.kind === 'placed' ? choice.placement.target : choice.kind).to.equal('led');
    // Under a new id, as a late placement of the earlier call is released under that call's id.
    expect(selector.dispatches.map(({ request: { id } }) => id)).to.not.include('r1/0.0');
  });

  /** Guards against an entry that gives up while the leader still has the caller's consent to wait. */
  it('waits for the leader as long as the caller stays, beyond its own patience', async () => {
    delays.place = 500;
    const [where, ms] = await place(100, { leavesInMs: 1_500, objectiveMs: 3_000 });
    expect([where, ms > 450]).to.deep.equal(['led', true]);
  });

  /** Guards against callers that wait in vain without a leader: the prompt's prefill outlasts their time limit. */
  it('refuses at once what cannot be answered before the caller leaves', async () => {
    await loseLeaderAndFillEngine();
    const since = clock.steady();
    const choice = await selector.choose({ ...longPrompt(2_000), leavesInMs: 50 });
    expect([choice.kind, clock.steady() - since < 1_000]).to.deep.equal(['noPlace', true]);
  });

  it('returns a Retry-After if no engine became free in time', async () => {
    await loseLeaderAndFillEngine();
    const since = clock.steady();
    const choice = await selector.choose(longPrompt(150));
    expect(choice.kind === 'noPlace' && choice.retryAfterMs).to.be.within(200, 2_000);
    expect(clock.steady() - since).to.be.within(140, 600);
  });

  /*
   * Guards against idle engines that count as full: a leader that answered after the entry had placed the request
   * itself kept counting a dispatch that never ended.
   */
  it('releases a placement that comes too late', async () => {
    delays.place = 500;
    const [where] = await place(100);
    expect(where).to.equal('local');
    await sleep(500);
    expect(reported.map(({ id, ending }) => [id, ending])).to.deep.equal([['r1/0.0', 'cancelled']]);
  });

  /*
   * Guards against a busy leader that is overloaded by liveness probes, up to a thousand a second when each waiting
   * prompt sent its own. One probe serves all requests that wait at an entry.
   */
  it('sends a busy leader one liveness probe at a time, however many requests wait', async () => {
    delays.place = 1_000;
    const waiting: Promise<unknown>[] = [];
    for (let i = 0; i < 8; i++) {
      waiting.push(place(2_000));
      await sleep(50);
    }
    await Promise.all(waiting);
    // The first after 150 ms, the last after 1.4 s, 300 ms apart.
    expect(probes).to.be.within(2, 5);
  });

  /** Guards against requests that wait for the end of an evacuation, which nobody knows. */
  it('refuses a request at once where all targets are evacuated, but waits for one in back-off', async () => {
    ['evacuated', 'backingOff'].forEach((id, i) => {
      registry.announce({ ...RECORD, id, address: `127.0.0.1:${i}` }, 0);
    });
    unavailableForMs.set('evacuated', Infinity).set('backingOff', 50);
    setTimeout(() => unavailableForMs.delete('backingOff'), 40);
    expect((await place(2_000))[0]).to.equal('led');
    const since = clock.steady();
    const choice = await selector.choose({ ...placementRequest(2_000), excluded: ['backingOff'] });
    expect(choice.kind === 'noPlace' && choice.reason).to.equal('evacuated');
    expect(choice.kind === 'noPlace' && choice.retryAfterMs).to.be.within(2_000, 3_000);
    expect(clock.steady() - since).to.be.below(50);
  });
});
