/** How an entry treats suspect requests, and how the leader overrides it. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import { Ok } from 'ts-results';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import type * as livenessVerdict from '../livenessVerdict';
import * as quarantineClient from '../quarantineClient';

const { expect } = chai;

const CONTENT = '4-content';

/** A run of a suspect request, and one of a request that wasn't suspect. */
const CANARY = { isCanaryOf: () => true };
const FIRST_RUN = { isCanaryOf: () => false };

const NO_PROBE = async (): Promise<void> => undefined;

function request(requestId: string): quarantineClient.RequestInfo {
  return {
    requestId,
    bodyBytes: 4,
    fingerprint: () => CONTENT,
    sharedParts: () => [],
    service: 'plain',
    excluded: [],
  };
}

describe('an entry that was cut off from all targets', () => {
  /*
   * Guards against a suspicion that only one entry has. One entry of eight was cut off from its targets, concluded that
   * three had crashed, and refused a harmless request with 502 until its restart: the leader had rejected the crash
   * reports, but sent the entry no update.
   */
  it('accepts the state of the leader, which knows that they are alive', async () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const emptyReport = new domain.quarantine.quarantine.Quarantine().report(CONTENT, 0);
    const client = new quarantineClient.QuarantineClient({
      name: 'e0',
      fleetState: { quarantine, registry: new domain.registry.registry.Registry() },
      link: { leader: '10.0.0.1:1' },
      client: {
        call: async <T>() => {
          await clock.sleep(1);
          return Ok({ kind: 'taken', reports: [emptyReport] } as T);
        },
      },
      liveness: { check: async () => 'dead', isAskingOthers: () => false, probePath: NO_PROBE },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: clock.steady,
    });
    for (const target of ['a', 'b', 'c']) {
      const sentAt = clock.steady();
      const sent = {
        target,
        address: '10.0.0.2:1',
        bornAt: 0,
        sentAt,
        run: CANARY,
        hasBegun: false,
      };
      await client.checkForCrash(request('r1'), sent);
    }
    await clock.sleep(10);
    expect([quarantine.size, (await client.permit(request('r2'))).kind]).to.deep.equal([
      0,
      'granted',
    ]);
  });
});

describe('a canary run that ends while there is no leader', () => {
  /**
   * Guards against a canary run whose end isn't reported: all copies of a harmless request were refused for a minute.
   */
  it('is reported to the leader as soon as there is one', async () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    ['a', 'b'].forEach((lifetime) => {
      quarantine.reportCrash(CONTENT, lifetime, { sentAt: 0, isTrial: true }, 1);
    });
    const link = { leader: '10.0.0.1:1' };
    const reports: unknown[] = [];
    const client = new quarantineClient.QuarantineClient({
      name: 'e0',
      fleetState: { quarantine, registry: new domain.registry.registry.Registry() },
      link,
      client: {
        call: async <T>(_address: string, method: string, content: object) => {
          if (method === 'trialEnded') reports.push(content);
          const granted = { kind: 'granted', endings: 2, target: undefined };
          return Ok((method === 'permit' ? granted : { kind: 'taken' }) as T);
        },
      },
      liveness: { check: async () => 'alive', isAskingOthers: () => false, probePath: NO_PROBE },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: clock.steady,
    });
    const permit = await client.permit(request('r1'));
    if (permit.kind !== 'granted') throw new Error(permit.kind);
    link.leader = '';
    permit.end(true);
    await clock.sleep(150);
    expect(reports).to.deep.equal([]);
    link.leader = '10.0.0.2:1';
    await clock.sleep(150);
    client.close();
    expect(reports).to.deep.equal([{ content: CONTENT, id: 'r1', ranWhole: true }]);
  });
});

describe('a request that is a suspect at its entry but not yet at the leader', () => {
  /**
   * Guards against a crashing request that is never quarantined because its separate runs don't count as canary runs,
   * but as copies that ran at the same time.
   */
  it('makes a canary run', async () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    quarantine.reportCrash(CONTENT, 'a', { sentAt: 0, isTrial: false }, 1);
    const client = new quarantineClient.QuarantineClient({
      name: 'e0',
      fleetState: { quarantine, registry: new domain.registry.registry.Registry() },
      link: { leader: '10.0.0.1:1' },
      client: {
        call: async <T>() => Ok({ kind: 'granted', endings: 0, target: undefined } as T),
      },
      liveness: { check: async () => 'alive', isAskingOthers: () => false, probePath: NO_PROBE },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: clock.steady,
    });
    const permit = await client.permit(request('r1'));
    client.close();
    expect(permit.kind === 'granted' && permit.endings).to.equal(1);
  });
});

describe('a crash that other VMs confirm late', () => {
  /** Guards against a request that crashes a fourth target, as it runs again before its third crash is reported. */
  it('is reported before the request runs again', async () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const client = new quarantineClient.QuarantineClient({
      name: 'e0',
      fleetState: { quarantine, registry: new domain.registry.registry.Registry() },
      link: { leader: '' },
      client: { call: async <T>() => Ok({ kind: 'taken', reports: [] } as T) },
      liveness: {
        check: async () => {
          await clock.sleep(100);
          return 'dead';
        },
        isAskingOthers: () => true,
        probePath: NO_PROBE,
      },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: clock.steady,
    });
    const sentAt = clock.steady();
    const sent = {
      target: 'a',
      address: '10.0.0.2:1',
      bornAt: 0,
      sentAt,
      run: FIRST_RUN,
      hasBegun: false,
    };
    await client.checkForCrash(request('r1'), sent);
    client.close();
    expect(quarantine.crashCount(CONTENT)).to.equal(1);
  });
});

describe('a crash that no other VM can be asked about', () => {
  /** An entry that every target refuses; returns the crashes that are known after a while. */
  const crashesOf = async (
    reach: domain.reachability.targetPaths.Reach,
    afterMs: number,
  ): Promise<number> => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const registry = new domain.registry.registry.Registry();
    const client = new quarantineClient.QuarantineClient({
      name: 'e0',
      fleetState: { quarantine, registry },
      link: { leader: '' },
      client: { call: async <T>() => Ok({ kind: 'taken', reports: [] } as T) },
      liveness: { check: async () => 'refused', isAskingOthers: () => false, probePath: NO_PROBE },
      paths: { reachOfService: () => reach, failingSince: () => undefined },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: clock.steady,
    });
    const sentAt = clock.steady();
    const sent = {
      target: 'a',
      address: '10.0.0.2:1',
      bornAt: 0,
      sentAt,
      run: FIRST_RUN,
      hasBegun: false,
    };
    await client.checkForCrash(request('r1'), sent);
    await clock.sleep(afterMs);
    client.close();
    return quarantine.crashCount(CONTENT);
  };

  /** Guards against crashes that an entry which is cut off from other VMs keeps to itself, or reports too late. */
  it('is reported once another target of the service responds', async () => {
    expect(await crashesOf('reached', 100)).to.equal(1);
  });

  /** Guards against crash reports by an entry that has lost its paths. */
  it('is not reported while the paths to the service are lost', async () => {
    expect(await crashesOf('lost', 100)).to.equal(0);
  });
});

describe('silent targets, of which other VMs can tell nothing else', () => {
  const TARGETS = ['a', 'b', 'c'];

  /** Time by which a second check must have counted a crash, milliseconds. */
  const COUNTED_MS = 1_200;

  const RECORD = {
    service: 'plain',
    address: '10.0.0.2:1',
    dataCentre: 'dc0',
    slots: 1,
    state: 'ready',
    sequence: 1,
  } as const;

  /**
   * Canary runs of a request on three targets, checked with these results while others of their service respond. Returns
   * the crashes that count against the request; the targets announce `announced` before the second check.
   */
  const crashesAfter = async (
    first: livenessVerdict.Verdict,
    second: livenessVerdict.Verdict,
    announced = 1,
  ): Promise<number> => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const registry = new domain.registry.registry.Registry();
    TARGETS.forEach((id) => registry.announce({ ...RECORD, id, bornAt: 1 }, 0));
    const checked = new Set<string>();
    const check = async (target: string): Promise<livenessVerdict.Verdict> => {
      if (checked.has(target)) return second;
      checked.add(target);
      return first;
    };
    const client = new quarantineClient.QuarantineClient({
      name: 'e0',
      fleetState: { quarantine, registry },
      link: { leader: '' },
      client: { call: async <T>() => Ok({ kind: 'taken', reports: [] } as T) },
      liveness: { check, isAskingOthers: () => false, probePath: NO_PROBE },
      paths: { reachOfService: () => 'reached', failingSince: () => undefined },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: clock.steady,
    });
    const runs = TARGETS.map((target) => {
      const attempt = { target, address: RECORD.address, bornAt: 1, sentAt: clock.steady() };
      return client.checkForCrash(request(target), { ...attempt, run: CANARY, hasBegun: false });
    });
    await Promise.all(runs);
    TARGETS.forEach((id) => registry.announce({ ...RECORD, id, bornAt: announced }, 0));
    await clock.sleep(COUNTED_MS);
    client.close();
    return quarantine.crashCount(CONTENT);
  };

  /** Guards against a quarantine of requests whose targets were only silent for a second. */
  it('do not count as crashed if they respond again', async () => {
    const crashes = [crashesAfter('unknown', 'alive'), crashesAfter('unasked', 'pathLost')];
    expect(await Promise.all(crashes)).to.deep.equal([0, 0]);
  });

  /** Guards against a request that goes on to crash targets because no refusal and no other VM shows that they crashed. */
  it('count as crashed if they stay silent', async () => {
    const crashes = [crashesAfter('unknown', 'unknown'), crashesAfter('unasked', 'silent')];
    expect(await Promise.all(crashes)).to.deep.equal([3, 3]);
  });

  /** Guards against a crash that isn't reported because the next lifetime responds to the second probe. */
  it('count as crashed if they restart under their ids', async () => {
    const crashes = [crashesAfter('silent', 'alive', 2), crashesAfter('unknown', 'alive', 2)];
    expect(await Promise.all(crashes)).to.deep.equal([3, 3]);
  });
});

describe('a target that is silent twice, and responds between', () => {
  /** When it responds, and when a second check has counted a crash, milliseconds after the first check. */
  const RESPONDS_MS = { from: 200, to: 800 };
  const COUNTED_MS = 1_200;

  /** Guards against requests that become suspects of a crash as both checks of their target fell into a silence. */
  it('does not count as crashed', async () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const target = { id: 'a', service: 'plain', dataCentre: 'dc0' };
    const paths = new domain.reachability.targetPaths.TargetPaths(() => [target]);
    const startedAt = clock.steady();
    const probe = async (): Promise<void> => {
      const now = clock.steady();
      const { from, to } = RESPONDS_MS;
      const isSilent = now - startedAt < from || now - startedAt > to;
      if (isSilent) paths.failed(target, now);
      else paths.responded(target, now, now);
    };
    const client = new quarantineClient.QuarantineClient({
      name: 'e0',
      fleetState: { quarantine, registry: new domain.registry.registry.Registry() },
      link: { leader: '' },
      client: { call: async <T>() => Ok({ kind: 'taken', reports: [] } as T) },
      liveness: {
        check: async () => {
          await probe();
          return 'silent';
        },
        isAskingOthers: () => false,
        probePath: probe,
      },
      paths: { reachOfService: () => 'reached', failingSince: (id) => paths.failingSince(id) },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: clock.steady,
    });
    const attempt = { target: 'a', address: '10.0.0.2:1', bornAt: 0, sentAt: 0 };
    await client.checkForCrash(request('r1'), { ...attempt, run: FIRST_RUN, hasBegun: false });
    await clock.sleep(COUNTED_MS);
    client.close();
    expect(quarantine.crashCount(CONTENT)).to.equal(0);
  });
});

describe('a request that was sent to a target after it had crashed', () => {
  /** Guards against a request that is suspected of a crash from before, at a leader that hasn't heard of it. */
  it('is not reported', async () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const methods: string[] = [];
    const client = new quarantineClient.QuarantineClient({
      name: 'e0',
      fleetState: { quarantine, registry: new domain.registry.registry.Registry() },
      link: { leader: '10.0.0.1:1' },
      client: {
        call: async <T>(_address: string, method: string) => {
          methods.push(method);
          return Ok({ kind: 'taken', reports: [] } as T);
        },
      },
      liveness: { check: async () => 'dead', isAskingOthers: () => false, probePath: NO_PROBE },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: clock.steady,
    });
    const lifetime = domain.quarantine.crashedLifetimes.lifetimeKey({ id: 'a', bornAt: 0 });
    quarantine.reportCrash('4-other', lifetime, { sentAt: 0, isTrial: false }, 1);
    const sent = {
      target: 'a',
      address: '10.0.0.2:1',
      bornAt: 0,
      sentAt: 2,
      run: FIRST_RUN,
      hasBegun: false,
    };
    await client.checkForCrash(request('r1'), sent);
    client.close();
    expect([quarantine.crashCount(CONTENT), methods]).to.deep.equal([0, []]);
  });
});

describe('requests that share a part of their prompts', () => {
  const [PART] = domain.quarantine.partFingerprint.ofParts(['c0ffee']);

  function withPart(requestId: string): quarantineClient.RequestInfo {
    return {
      ...request(requestId),
      fingerprint: () => `4-${requestId}`,
      sharedParts: () => ['c0ffee'],
    };
  }

  /** A client, with what it sent to the leader, which grants every canary run. */
  function clientOf(quarantine: domain.quarantine.quarantine.Quarantine): {
    client: quarantineClient.QuarantineClient;
    sent: { method: string; content: object }[];
  } {
    const sent: { method: string; content: object }[] = [];
    const client = new quarantineClient.QuarantineClient({
      name: 'e0',
      fleetState: { quarantine, registry: new domain.registry.registry.Registry() },
      link: { leader: '10.0.0.1:1' },
      client: {
        call: async <T>(_address: string, method: string, content: object) => {
          sent.push({ method, content });
          const granted = { kind: 'granted', endings: 1, target: undefined };
          return Ok((method === 'permit' ? granted : { kind: 'taken', reports: [] }) as T);
        },
      },
      liveness: { check: async () => 'dead', isAskingOthers: () => false, probePath: NO_PROBE },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: clock.steady,
    });
    return { client, sent };
  }

  /** Guards against parts of all streams on a target that become suspect, although they had begun to answer. */
  it('have it reported if their target crashes before it begins to answer', async () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const { client, sent } = clientOf(quarantine);
    const sentAt = clock.steady();
    const attempt = { address: '10.0.0.2:1', bornAt: 0, sentAt, run: FIRST_RUN };
    await client.checkForCrash(withPart('r1'), { ...attempt, target: 'a', hasBegun: true });
    expect(quarantine.hasSuspectParts).to.equal(false);
    await client.checkForCrash(withPart('r2'), { ...attempt, target: 'b', hasBegun: false });
    client.close();
    const reported = sent.map(({ content }) => {
      return (content as { ended: { content: string }[] }).ended.map((each) => each.content);
    });
    expect(reported).to.deep.equal([['4-r1'], ['4-r2', PART]]);
  });

  /** Guards against a sound part that stays suspect, with its requests one after the other, until an answer is complete. */
  it('wait for one of them, until its answer begins', async () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const { client, sent } = clientOf(quarantine);
    quarantine.reportCrash(PART, 'a/0', { sentAt: 0, isTrial: false }, clock.steady() - 1);
    const canary = await client.permit(withPart('r1'));
    const second = await client.permit(withPart('r2'));
    expect(second).to.deep.equal({ kind: 'busy', isCopy: false });
    if (canary.kind !== 'granted') throw new Error(canary.kind);
    canary.sent();
    canary.began();
    const third = await client.permit(withPart('r3'));
    client.close();
    expect([third.kind, third.kind === 'granted' && third.endings]).to.deep.equal(['granted', 0]);
    const { sentAgoMs, ...proof } = sent[1].content as { sentAgoMs: number };
    expect([sentAgoMs >= 0, proof]).to.deep.equal([
      true,
      { content: PART, id: 'r1', ranWhole: true },
    ]);
  });
});
