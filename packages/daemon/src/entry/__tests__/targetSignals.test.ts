/** Which responses count as signals of a target, and what they change. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import type * as protocols from '../../edges/protocols';
import * as observer from '../../observability/observer';
import type * as targetMessage from '../targetMessage';
import * as targetSignals from '../targetSignals';

const { expect } = chai;

type Announcement = domain.registry.registry.Announcement;

const RECORD: Announcement = {
  id: 't',
  service: 's',
  address: '127.0.0.1:1',
  dataCentre: 'dc0',
  slots: 8,
  state: 'ready',
  bornAt: 1,
  sequence: 1,
};

const REQUEST: targetMessage.TargetMessage = {
  target: 't',
  address: RECORD.address,
  purpose: 'request',
  requestId: 'r1',
  method: 'GET',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
};

const ORDER: targetMessage.TargetMessage = { ...REQUEST, purpose: 'order', requestId: undefined };

/** A target's refusal of the request above, with a back-off of a second. */
const REFUSAL: protocols.ResponseMetadata = {
  requestId: 'r1',
  isSigned: false,
  isNotRun: true,
  isWrongLifetime: false,
  faulty: undefined,
  isEncoded: false,
  limit: { kind: 'none' },
  backOff: { kind: 'asked', forMs: 1_000 },
  isLeaving: false,
};

const NO_BACK_OFF = { backOff: { kind: 'none' } } as const;

const SERVICE = { name: 's', healthPath: '/', maxConnections: 1, engine: undefined };

const CATALOGUE: domain.catalogue.catalogue.Catalogue = {
  version: 1,
  routes: [],
  services: [],
  organisations: undefined,
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

class Harness {
  readonly evacuations = new domain.evacuation.evacuations.Evacuations();

  readonly registry = new domain.registry.registry.Registry();

  readonly applyDraining = ({ id, bornAt }: { id: string; bornAt: number }): Announcement[] => {
    return this.registry.reportDraining(id, bornAt);
  };

  maxConnections = Infinity;

  get directory(): domain.catalogue.directory.Directory {
    const service = { ...SERVICE, maxConnections: this.maxConnections };
    return new domain.catalogue.directory.Directory({ ...CATALOGUE, services: [service] });
  }

  readonly observer = new observer.Observer('test', 'fatal', undefined);

  readonly limits: (number | undefined)[] = [];

  readonly quarantine = new domain.quarantine.quarantine.Quarantine();

  now = 0;

  readonly signals: targetSignals.TargetSignals;

  constructor() {
    this.registry.announce(RECORD, 0);
    this.signals = new targetSignals.TargetSignals({
      fleetState: this,
      link: { leader: '' },
      client: { call: () => Promise.reject(new Error('no leader')) },
      limits: {
        answered: (_answer, limit) => {
          this.limits.push(limit.kind === 'named' ? limit.perSecond : undefined);
        },
      },
      observer: this.observer,
      now: () => this.now,
    });
  }

  /** Sends a message that gets such a response; returns whether it was sent. */
  exchange(facts: Partial<protocols.ResponseMetadata>, message = REQUEST, status = 503): boolean {
    const delivery = this.signals.admit(message);
    delivery?.answered({ status, raw: [], facts: { ...REFUSAL, ...facts } });
    delivery?.ended();
    return delivery !== undefined;
  }

  accepts(purpose: targetMessage.MessagePurpose): boolean {
    return this.signals.admit({ ...REQUEST, purpose }) !== undefined;
  }
}

describe('signals of targets', () => {
  let setup: Harness;

  beforeEach(() => {
    setup = new Harness();
  });

  afterEach(() => setup.signals.close());

  /**
   * Guards against a back-off that comes from a proxy, from the late response to another request, or from another
   * lifetime.
   */
  it('count only in a response to the message itself, from the addressed lifetime', () => {
    const answers: [string, Partial<protocols.ResponseMetadata>, targetMessage.TargetMessage][] = [
      ['its own refusal', {}, REQUEST],
      ['its own signed failure', { isSigned: true, isNotRun: false }, REQUEST],
      ['its refusal of an order', { requestId: undefined, isNotRun: false }, ORDER],
      ['its refusal of an order, with an empty id', { requestId: '' }, ORDER],
      ['an answer to another request', { requestId: 'r2' }, REQUEST],
      ['an answer without an id', { requestId: undefined }, REQUEST],
      ['a request’s answer after an order', {}, ORDER],
      ['an answer of another lifetime', { isWrongLifetime: true }, REQUEST],
      ['an answer that nobody vouches for', { isNotRun: false }, REQUEST],
    ];
    const accepted = answers.map(([what, facts, message]) => {
      const harness = new Harness();
      harness.exchange(facts, message);
      return [what, harness.signals.unavailable('s').length > 0];
    });
    expect(accepted).toMatchSnapshot();
  });

  /**
   * Guards against messages to a target in back-off, whatever their purpose. Upkeep of reserved memory is still sent,
   * but limited.
   */
  it('apply to requests, orders and checks alike', () => {
    setup.exchange({});
    const kinds = ['request', 'order', 'check', 'upkeep', 'upkeep', 'upkeep'] as const;
    expect(kinds.map((kind) => setup.accepts(kind))).to.deep.equal([
      ...[false, false, false],
      ...[true, true, false],
    ]);
    expect(setup.signals.backOffMs('t')).to.equal(1_000);
    setup.now = 1_000;
    expect([setup.accepts('request'), setup.accepts('request')]).to.deep.equal([true, false]);
  });

  it('are logged once if the back-off is unreadable, and change nothing', () => {
    setup.exchange({ backOff: { kind: 'unreadable' } });
    setup.exchange({ backOff: { kind: 'unreadable' } });
    expect(setup.accepts('request')).to.equal(true);
    const { 'event.backOffAsked': lines, 'backOffs.unreadable': answers } =
      setup.observer.counters();
    expect([lines, answers]).to.deep.equal([1, 2]);
  });

  /**
   * Guards against new work for a draining target, and against the loss of memory that its running streams still need.
   */
  it('withhold requests and orders from a draining target, in that lifetime only', () => {
    setup.exchange({ ...NO_BACK_OFF, isLeaving: true });
    setup.registry.announce({ ...RECORD, sequence: 2 }, 0);
    const kinds = ['request', 'order', 'check', 'upkeep'] as const;
    expect(kinds.map((kind) => setup.accepts(kind))).to.deep.equal([false, false, true, true]);
    expect([setup.signals.unavailable('s'), setup.registry.ready('s')]).to.deep.equal([['t'], []]);
    setup.registry.announce({ ...RECORD, bornAt: 2 }, 0);
    expect([setup.accepts('request'), setup.signals.unavailable('s')]).to.deep.equal([true, []]);
  });

  /**
   * Guards against new work on evacuated targets, as recipients or helpers, and against the loss of work that runs
   * there. A target that the registry doesn't know may be in an evacuated data centre.
   */
  it('don’t admit requests and orders during an evacuation, but upkeep and checks', () => {
    setup.registry.announce({ ...RECORD, id: 'u', address: '127.0.0.1:2', dataCentre: 'dc1' }, 0);
    const cases: Record<string, Partial<targetMessage.TargetMessage>> = {
      request: {},
      order: { purpose: 'order' },
      check: { purpose: 'check' },
      upkeep: { purpose: 'upkeep' },
      elsewhere: { target: 'u' },
      'with a helper there': { target: 'u', helpers: ['u', 't'] },
      unknown: { target: 'v' },
      'with an unknown helper': { target: 'u', helpers: ['v'] },
    };
    const admitted = (): string[] => {
      return Object.keys(cases).filter((each) => {
        return setup.signals.admit({ ...REQUEST, ...cases[each] }) !== undefined;
      });
    };
    const before = admitted();
    const order = { dataCentre: 'dc0', startedAt: 0, requestedBy: '' };
    setup.evacuations.apply({ kind: 'evacuate', evacuation: order }, 1);
    const { signals } = setup;
    const unavailable = [signals.unavailable('s'), signals.waitMs('t'), signals.waitMs('u')];
    const during = admitted();
    const { 'messages.evacuated.request': requests } = setup.observer.counters();
    setup.evacuations.apply({ kind: 'endEvacuation', dataCentre: 'dc0' }, 2);
    expect({ during, unavailable, requests }).toMatchSnapshot();
    expect(admitted()).to.deep.equal(before).and.have.length(8);
  });

  /** Guards against connections that a target resets because all entries together open more than it accepts. */
  it('limit the connections to a target, in equal shares for all entries', () => {
    setup.maxConnections = 7;
    setup.signals.leaderFound('', 3);
    const deliveries = Array.from({ length: 3 }, () => setup.signals.admit(REQUEST));
    expect(deliveries.map((each) => each !== undefined)).to.deep.equal([true, true, false]);
    expect(setup.signals.unavailable('s')).to.deep.equal(['t']);
    deliveries.forEach((each) => each?.ended());
    expect(setup.signals.unavailable('s')).to.deep.equal([]);
    setup.signals.leaderFound('', 30);
    const kinds = ['request', 'request', 'upkeep'] as const;
    expect(kinds.map((kind) => setup.accepts(kind))).to.deep.equal([true, false, true]);
  });

  /** Guards against a back-off that is dropped because the restart of the target is announced after its response. */
  it('persist if the target turns out to have restarted under its id', () => {
    setup.exchange({});
    setup.registry.announce({ ...RECORD, bornAt: 2 }, 0).forEach((record) => {
      if (record.state === 'gone') setup.signals.forget(record);
    });
    expect(setup.accepts('request')).to.equal(false);
    setup.registry.announce({ ...RECORD, id: 'u', bornAt: 3 }, 0);
    expect(setup.signals.admit({ ...REQUEST, target: 'u' })).to.not.equal(undefined);
  });

  /** Guards against a restarted target that gets nothing for what its former lifetime asked, or left unanswered. */
  it('hold nothing of a former lifetime', () => {
    setup.maxConnections = 1;
    setup.signals.leaderFound('leader', 1);
    setup.exchange({ backOff: { kind: 'asked', forMs: 300_000 } });
    setup.now = 3_000;
    setup.signals.admit({ ...REQUEST, purpose: 'upkeep' });
    expect(setup.accepts('request')).to.equal(false);
    const reborn = { ...RECORD, bornAt: 2, sequence: 0 };
    setup.registry.announce(reborn, 3_000);
    setup.signals.observe(reborn);
    expect([setup.accepts('request'), setup.accepts('request')]).to.deep.equal([true, false]);
  });

  /**
   * Guards against a limit that a failure lifts, and against limits that are read in responses to callers' requests
   * only.
   */
  it('set a limit in any response of the target, and lift it only in a success', () => {
    const limit = { kind: 'named', perSecond: 2 } as const;
    setup.exchange({ ...NO_BACK_OFF, limit });
    setup.exchange({ ...NO_BACK_OFF, limit, requestId: undefined, isNotRun: false }, ORDER);
    setup.exchange({ ...NO_BACK_OFF, limit, requestId: 'r2' });
    setup.exchange({ ...NO_BACK_OFF }, REQUEST, 503);
    setup.exchange({ ...NO_BACK_OFF, isSigned: true, isNotRun: false }, REQUEST, 500);
    setup.exchange({ ...NO_BACK_OFF, isSigned: true, isNotRun: false }, REQUEST, 200);
    expect(setup.limits).to.deep.equal([2, 2, undefined]);
  });
});

describe('a target that responds after its crash was reported', () => {
  const LIFETIME = domain.quarantine.crashedLifetimes.lifetimeKey({ id: 't', bornAt: 1 });

  /** Crashes that count against a request which is running when the target crashes, after a false report of another. */
  const crashesAfter = (respond: (setup: Harness) => void): number => {
    const setup = new Harness();
    setup.now = 10;
    respond(setup);
    setup.quarantine.reportCrash('4-culprit', LIFETIME, { sentAt: 30, isTrial: false }, 40);
    return setup.quarantine.crashCount('4-culprit');
  };

  const reportFalsely = ({ quarantine }: Harness): void => {
    quarantine.reportCrash('4-other', LIFETIME, { sentAt: 1, isTrial: false }, 15);
  };

  /**
   * Guards against culprits that an entry never counts a crash against: only the leader hears from targets that they live,
   * so a crash that was reported falsely stayed at the entry for the rest of the lifetime, and the real one came after it.
   */
  it('has not crashed yet', () => {
    const count = crashesAfter((setup) => {
      reportFalsely(setup);
      setup.now = 20;
      setup.exchange(NO_BACK_OFF);
    });
    expect(count).to.equal(1);
  });

  /** Guards against requests that meet the broken connections of a crashed target and count as causes of its crash. */
  it('may have crashed if the response is to an earlier message', () => {
    const count = crashesAfter((setup) => {
      const delivery = setup.signals.admit(REQUEST);
      reportFalsely(setup);
      setup.now = 20;
      delivery?.answered({ status: 503, raw: [], facts: { ...REFUSAL, ...NO_BACK_OFF } });
    });
    expect(count).to.equal(0);
  });

  /** Guards against the same where the next lifetime responds at the address. */
  it('may have crashed if another lifetime responds', () => {
    const count = crashesAfter((setup) => {
      reportFalsely(setup);
      setup.now = 20;
      setup.exchange({ ...NO_BACK_OFF, isWrongLifetime: true });
    });
    expect(count).to.equal(0);
  });
});
