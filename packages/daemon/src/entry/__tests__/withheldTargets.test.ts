/** Requests of an entry without paths whose relays may not send to some of the targets. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import * as peerServer from '../../rpc/peerServer';
import type * as reachability from '../reachability';
import * as relayServer from '../relayServer';
import * as targetClient from '../targetClient';
import type * as targetMessage from '../targetMessage';
import type * as placementChoice from '../placementChoice';
import * as targetSelector from '../targetSelector';
import * as unavailableTargets from '../unavailableTargets';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const OBSERVER = new observer.Observer('test', 'fatal', undefined);

/** Number of the event of a failed attempt. */
const ATTEMPT_FAILED = 5002;

/** Time for which the relays withhold a target, milliseconds. */
const WITHHELD_MS = 5_000;

const RESPOND: harness.TargetBehaviour = (request, socket) =>
  socket.write(harness.answerTo(request, 'whole'));

describe('targets that a relay withholds', () => {
  let setup: harness.TestHarness;

  const closers: (() => void)[] = [];

  /** Messages that the relays were given, by target. */
  const offered: string[] = [];

  afterEach(() => {
    setup.stop();
    closers.splice(0).forEach((close) => close());
    offered.length = 0;
  });

  /** An entry that relays and withholds some targets; its status names those in `stated`. Returns its address. */
  const startRelay = async (withheld: string[], stated = withheld): Promise<string> => {
    const admit = (
      message: targetMessage.TargetMessage,
    ): targetMessage.DeliveryCallbacks | undefined => {
      offered.push(message.target);
      const isWithheld = withheld.includes(message.target);
      return isWithheld ? undefined : harness.PERMISSIVE_GATE.admit(message);
    };
    const targets = new targetClient.TargetClient({ protocol: harness.PROTOCOL, gate: { admit } });
    const relay = new relayServer.RelayServer({
      targets,
      isReady: () => true,
      isLost: () => false,
      lostScopes: () => [],
      withheld: () => stated.map((target) => ({ target, forMs: WITHHELD_MS })),
      withheldMs: () => WITHHELD_MS,
      observer: OBSERVER,
    });
    const server = new peerServer.PeerServer('secret', undefined, OBSERVER);
    server.add('relayStatus', () => relay.status);
    server.serveHttp(relay.server);
    const port = await server.listen({ host: '127.0.0.1', port: 0 });
    closers.push(() => {
      void server.close();
      targets.close();
    });
    return `127.0.0.1:${port}`;
  };

  /** Guards against callers that are refused, or wait for several attempts, although a target is free. */
  it('are left out, so that another one serves the request at the first attempt', async () => {
    const relay = await startRelay(['t0', 't1', 't2']);
    setup = await harness.TestHarness.startSevered([relay], RESPOND, RESPOND, RESPOND, RESPOND);
    expect((await setup.send('/unsafe/1')).body).to.equal('whole');
    expect([offered, setup.outcomes]).to.deep.equal([['t3'], ['done']]);
  });

  /**
   * Guards against attempts that are lost on targets whose back-off began after the last status: the request had none left
   * for the target that was free.
   */
  it('cost no attempt if only the answer to a message says so, and are left out from then on', async () => {
    const relay = await startRelay(['t0', 't1', 't2'], []);
    setup = await harness.TestHarness.startSevered([relay], RESPOND, RESPOND, RESPOND, RESPOND);
    expect((await setup.send('/unsafe/1')).body).to.equal('whole');
    expect((await setup.send('/unsafe/1')).body).to.equal('whole');
    expect(offered).to.deep.equal(['t0', 't1', 't2', 't3', 't3']);
    const [cancelled, done] = ['cancelled', 'done'];
    expect(setup.outcomes).to.deep.equal([cancelled, cancelled, cancelled, done, done]);
    expect(setup.logged.filter(({ event }) => event === ATTEMPT_FAILED)).to.deep.equal([]);
  });

  /** Guards against a target that gets nothing although one of the relays may send to it. */
  it('are reached by a relay that does not withhold them', async () => {
    const relays = [await startRelay(['t0']), await startRelay([])];
    setup = await harness.TestHarness.startSevered(relays, RESPOND, RESPOND);
    for (let i = 0; i < 4; i++) expect((await setup.send('/unsafe/1')).body).to.equal('whole');
    expect(offered).to.deep.equal(['t0', 't0', 't0', 't0']);
  });

  /** Guards against sound targets that are left out once this entry reaches them itself again. */
  it('are used if the path to them is back', async () => {
    const relay = await startRelay(['t0', 't1']);
    setup = await harness.TestHarness.startSevered([relay], RESPOND, RESPOND);
    const reach = setup.reachability as reachability.Reachability;
    expect(reach.withheldTargets('app')).to.deep.equal(['t0', 't1']);
    reach.paths.responded('t0', clock.steady());
    expect([reach.withheldTargets('app'), reach.withheldMs('t0')]).to.deep.equal([[], 0]);
    expect([(await setup.send('/unsafe/1')).body, offered]).to.deep.equal(['whole', []]);
  });

  /** Guards against callers that wait in vain, or return while all targets are still withheld. */
  it('are awaited for a short time, and refused with the rest of it as Retry-After otherwise', async () => {
    const registry = new domain.registry.registry.Registry();
    const place = { service: 's', dataCentre: 'dc0', slots: 8, bornAt: 1, sequence: 1 };
    registry.announce({ ...place, id: 'a', address: '127.0.0.1:1', state: 'ready' }, 0);
    const choose = async (withheldMs: number): Promise<placementChoice.Choice> => {
      const until = clock.steady() + withheldMs;
      const leftMs = (): number => Math.max(0, until - clock.steady());
      const options = {
        fleetState: { registry, limits: new domain.rateLimits.rateLimits.RateLimits() },
        limits: { grantProbe: async () => undefined },
        unavailableTargets: new unavailableTargets.UnavailableTargets({
          signals: { unavailable: () => [], waitMs: () => 50 },
          reachability: {
            withheldTargets: () => (leftMs() > 0 ? ['a'] : []),
            withheldMs: leftMs,
          },
        }),
        random: domain.shared.random.seeded(1),
        now: clock.steady,
      } as unknown as targetSelector.Options;
      const request = {
        service: 's',
        excluded: [],
        patienceMs: 900,
        objectiveMs: 900,
        waitedMs: 0,
      };
      const selector = new targetSelector.TargetSelector(options);
      return selector.choose(request as unknown as placementChoice.PlacementRequest);
    };
    expect((await choose(200)).kind).to.equal('placed');
    const refused = await choose(WITHHELD_MS);
    expect(refused).to.include({ kind: 'noPlace', reason: 'unavailable' });
    expect(refused.kind === 'noPlace' && refused.retryAfterMs).to.be.within(4_000, 7_500);
  });
});
