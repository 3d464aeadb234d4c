/** Targets that restart under their id while an entry has calls and reservations of their former lifetime. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import * as quarantineClient from '../quarantineClient';
import * as reservations from '../reservations';
import type * as placementChoice from '../placementChoice';
import * as targetSelector from '../targetSelector';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const RECORD: domain.registry.registry.Announcement = {
  id: 'a',
  service: 's',
  address: '127.0.0.1:1',
  dataCentre: 'dc0',
  slots: 8,
  state: 'ready',
  bornAt: 1,
  sequence: 1,
};

const OTHER = { ...RECORD, id: 'b', address: '127.0.0.1:2' };

const observe = new observer.Observer('test', 'fatal', undefined);

/** A selector of plain targets without a leader. */
function makeSelector(registry: domain.registry.registry.Registry): targetSelector.TargetSelector {
  const options = {
    fleetState: { registry, limits: new domain.rateLimits.rateLimits.RateLimits() },
    limits: { grantProbe: async () => undefined },
    unavailableTargets: { of: () => [] },
    random: domain.shared.random.seeded(1),
    now: clock.steady,
  };
  return new targetSelector.TargetSelector(options as unknown as targetSelector.Options);
}

const eventOf = (id: number): string => harness.chunk(`id: ${id}\ndata: x\n\n`);

describe('a target that restarted under its id', () => {
  let registry: domain.registry.registry.Registry;

  beforeEach(() => {
    registry = new domain.registry.registry.Registry();
    [RECORD, OTHER].forEach((record) => registry.announce(record, 0));
  });

  /** Guards against an idle target without calls: those that its former lifetime left unanswered count against it. */
  it('holds no calls of its former lifetime, nor their failures', async () => {
    const selector = makeSelector(registry);
    const request = { service: 's', excluded: [], patienceMs: 9, objectiveMs: 9, waitedMs: 0 };
    const choose = async (excluded: string[]): Promise<placementChoice.Choice> =>
      selector.choose({ ...request, excluded } as unknown as placementChoice.PlacementRequest);
    const old = [await choose(['b']), await choose(['b'])];
    registry.announce({ ...RECORD, bornAt: 2, sequence: 0 }, 0);
    selector.forget('a');
    old.forEach((choice) => choice.kind === 'placed' && choice.release('unreachable'));
    const targets = [];
    for (let i = 0; i < 4; i++) {
      const choice = await choose([]);
      targets.push(choice.kind === 'placed' ? choice.placement.target : '');
    }
    expect(targets.sort()).to.deep.equal(['a', 'a', 'b', 'b']);
  });

  /** Guards against memory of the new lifetime that a renewal reserves for a prompt which the former one held. */
  it('gets no renewal or release of memory that its former lifetime reserved', async () => {
    let calls = 0;
    const call = async (): Promise<object> => {
      calls += 1;
      return { kind: 'answered', status: 200, facts: harness.PROTOCOL.responseMetadata(200, {}) };
    };
    const memory = new reservations.Reservations('r', {
      protocol: harness.PROTOCOL,
      targets: { call } as unknown as reservations.Dependencies['targets'],
      limits: { spent: () => undefined },
      signals: { backOffMs: () => 0, bornAt: (id) => registry.get(id)?.bornAt ?? 0 },
      observer: observe,
      now: clock.steady,
    });
    await memory.reserveAll([{ target: 'a', address: RECORD.address, keptTokens: 9 }]);
    memory.renewFor({ lastHeardAt: clock.steady, isResponsive: async () => true });
    registry.announce({ ...RECORD, bornAt: 2 }, 0);
    await clock.sleep(1_300);
    memory.release();
    await clock.sleep(1);
    expect(calls).to.equal(1);
  });

  /** Guards against a restarted target that is taken for crashed, as its former lifetime was. */
  it('is not taken for crashed, as its former lifetime was', async () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const client = new quarantineClient.QuarantineClient({
      name: 'e0',
      fleetState: { quarantine, registry },
      link: { leader: '' },
      client: { call: () => Promise.reject(new Error('no leader')) },
      liveness: {
        check: async () => 'dead',
        isAskingOthers: () => false,
        probePath: async () => undefined,
      },
      observer: observe,
      now: clock.steady,
    });
    const { id: target, address, bornAt } = RECORD;
    const request = {
      ...{ requestId: 'r', bodyBytes: 4, service: 's', excluded: [] },
      sharedParts: () => [],
    };
    registry.announce({ ...RECORD, address: '127.0.0.1:3', bornAt: 2 }, 0);
    await client.checkForCrash(
      { ...request, fingerprint: () => '4-content' },
      {
        target,
        address,
        bornAt,
        sentAt: clock.steady(),
        run: { isCanaryOf: () => true },
        hasBegun: false,
      },
    );
    client.close();
    const hasCrashed = [1, 2].map((each) => quarantine.hasCrashed({ id: target, bornAt: each }));
    expect(hasCrashed).to.deep.equal([true, false]);
  });

  /** Guards against a stream that is cut as a target that was replaced, and ran nothing, counts as one of its targets. */
  it('is passed over by a stream that has begun, which goes on at a third one', async () => {
    const setup = await harness.TestHarness.start(
      harness.answeringProbes((_request, socket) => {
        socket.write(harness.STREAM_HEAD + eventOf(1));
        setTimeout(() => socket.resetAndDestroy(), 50);
      }),
      harness.answeringProbes((_request, socket) => {
        socket.write(harness.answer('', 421, 'not-run: 1\r\n'));
      }),
      harness.answeringProbes((_request, socket) => {
        socket.write(harness.STREAM_HEAD + eventOf(2) + harness.LAST_CHUNK);
      }),
    );
    const reply = await setup.send('/streaming/');
    setup.stop();
    expect([reply.status, reply.isWhole, reply.body]).to.deep.equal([
      200,
      true,
      'id: 1\ndata: x\n\nid: 2\ndata: x\n\n',
    ]);
  });
});
