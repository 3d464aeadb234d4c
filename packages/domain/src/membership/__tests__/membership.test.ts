/**
 * Membership: suspicion and refutation, gossip compared with flooding, and the rule against stale
 * settings.
 */
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as hashing from '../../shared/hashing';
import * as random from '../../shared/random';
import * as daemon from '../daemon';
import * as detector from '../detector';
import * as freshness from '../freshness';
import * as gossip from '../gossip';

const { expect } = chai;

function member(id: string, status: daemon.Status = 'alive', incarnation = 1): daemon.Daemon {
  return { id, address: id, dataCentre: 'dc', incarnation, status };
}

const RECORD = fastCheck.record({
  id: fastCheck.constantFrom('a', 'b', 'c'),
  incarnation: fastCheck.integer({ min: 1, max: 4 }),
  status: fastCheck.constantFrom<daemon.Status>('alive', 'leaving', 'suspect', 'dead'),
});

describe('detector', () => {
  it('reaches the same state for any order of the records', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(RECORD), fastCheck.integer(), (records, seed) => {
        const source = random.seeded(seed);
        const shuffled = [...records].sort(() => source.uniform() - 0.5);
        const finalState = (list: typeof records): unknown => {
          const tested = new detector.Detector(member('self'), random.seeded(1));
          list.forEach(({ id, incarnation, status }) => {
            tested.merge(member(id, status, incarnation), 0);
          });
          return tested.list().sort((a, b) => (a.id < b.id ? -1 : 1));
        };
        expect(finalState(shuffled)).to.deep.equal(finalState(records));
      }),
      { seed: 1, numRuns: 1_000 },
    );
  });

  /*
   * Guards against a flapping VM that is declared dead although it refutes each suspicion, or that
   * affects other members.
   */
  it('lets a suspect refute, and declares dead only a silent one', () => {
    const self = new detector.Detector(member('self'), random.seeded(1));
    const peer = new detector.Detector(member('peer'), random.seeded(2));
    self.merge(member('peer'), 0);
    self.merge(member('other'), 0);
    const statuses: string[] = [];
    for (let round = 0; round < 3; round++) {
      const [suspected] = self.suspect('peer', round * 1_000);
      statuses.push(self.get('peer')?.status ?? '');
      const [refuted] = peer.merge(suspected, round * 1_000);
      self.merge(refuted, round * 1_000 + 500);
      statuses.push(self.get('peer')?.status ?? '');
    }
    self.suspect('peer', 10_000);
    self.expire(14_000);
    statuses.push(self.get('peer')?.status ?? '', self.get('other')?.status ?? '');
    expect(statuses.join(' ')).to.equal('suspect alive suspect alive suspect alive dead alive');
  });
});

describe('gossip buffer', () => {
  let hash: hashing.Hash;

  before(async () => {
    hash = await hashing.load();
  });

  /*
   * Guards against full transfers at each first meeting of two daemons: in a fleet of 64 they cost
   * 5.5 KB/s per daemon until each pair had met. Equal checksums must replace them.
   */
  it('has equal checksums for equal records in any order', () => {
    const buffers = [new gossip.GossipBuffer<string>(hash), new gossip.GossipBuffer<string>(hash)];
    const [a, b] = buffers as [gossip.GossipBuffer<string>, gossip.GossipBuffer<string>];
    a.put('x', 'old', '');
    ['x', 'y', 'z'].forEach((key) => a.put(key, `${key}1`, ''));
    ['z', 'x', 'y'].forEach((key) => b.put(key, `${key}1`, 'a'));
    b.put('passing', 'p', '', true);
    const equal = a.checksum === b.checksum;
    b.markInSync('a');
    const due = b.batchFor('a', 10).records;
    a.remove('x');
    expect([equal, due, a.checksum === b.checksum]).to.deep.equal([true, [], false]);
  });

  it('delivers every record to every member, as flooding would, and then sends nothing', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.integer(), (seed) => {
        const source = random.seeded(seed);
        const names = ['a', 'b', 'c', 'd', 'e'];
        const buffers = new Map(names.map((name) => [name, new gossip.GossipBuffer<string>(hash)]));
        const received = new Map(names.map((name) => [name, new Set<string>()]));
        const deliver = (at: string, record: string, from: string): void => {
          if (received.get(at)?.has(record) === true) return;
          received.get(at)?.add(record);
          buffers.get(at)?.put(record, record, from);
        };
        names.forEach((name) => deliver(name, `of-${name}`, ''));
        for (let round = 0; round < 200; round++) {
          const from = random.pick(source, names);
          const to = random.pick(source, names);
          const buffer = buffers.get(from) as gossip.GossipBuffer<string>;
          const batch = buffer.batchFor(to, 3);
          // Half of the exchanges are lost; the batch must be sent again.
          if (from === to || source.uniform() < 0.5) continue;
          buffer.acknowledge(to, batch.upTo);
          batch.records.forEach((record) => deliver(to, record, from));
        }
        names.forEach((name) => expect(received.get(name)?.size).to.equal(names.length));
        const due = (): number => {
          let records = 0;
          names.forEach((name) => {
            names.forEach((peer) => {
              const buffer = buffers.get(name) as gossip.GossipBuffer<string>;
              const batch = buffer.batchFor(peer, 10);
              records += batch.records.length;
              buffer.acknowledge(peer, batch.upTo);
            });
          });
          return records;
        };
        due();
        expect(due()).to.equal(0);
      }),
      { seed: 3, numRuns: 200 },
    );
  });
});

describe('freshness', () => {
  /*
   * Guards against requests that are served by outdated settings during a partition. For every
   * split of five daemons, with the leader on either side: once a change is accepted on one side,
   * no daemon on the other admits requests after the lease, and a control plane that is merely down
   * stops none.
   */
  it('admits nothing on a stale side beside an accepting leader, for every split', () => {
    const ids = ['d0', 'd1', 'd2', 'd3', 'd4'];
    const lease = 4_000;
    for (let split = 0; split < 2 ** ids.length; split++) {
      const isOnLeaderSide = (id: string): boolean => (split & (1 << ids.indexOf(id))) !== 0;
      const leaderSide = ids.filter(isOnLeaderSide);
      const other = ids.filter((id) => !isOnLeaderSide(id));
      const accepted = freshness.isHeldByMajority(9, ids, (id) => (isOnLeaderSide(id) ? 9 : 8));
      const admitting = other.filter((id) => {
        const tested = new freshness.Freshness('majority', lease);
        tested.renewLease(0);
        other.forEach((peer) => tested.recordExchange(peer, 9_000));
        return tested.admission(10_000, id, ids) === 'admit';
      });
      expect(accepted && admitting.length > 0, `split ${leaderSide.join()}`).to.equal(false);
      const admittingWithoutLeader = ids.filter((id) => {
        const tested = new freshness.Freshness('majority', lease);
        tested.renewLease(0);
        ids.forEach((peer) => tested.recordExchange(peer, 9_000));
        return tested.admission(10_000, id, ids) === 'admit';
      });
      expect(admittingWithoutLeader.length).to.equal(ids.length);
    }
  });

  it('follows the configured rule', () => {
    const admissions = (['majority', 'refuse', 'serve'] as const).map((rule) => {
      const tested = new freshness.Freshness(rule, 1_000);
      const never = tested.admission(0, 'a', ['a', 'b', 'c']);
      tested.renewLease(0);
      const fresh = tested.admission(900, 'a', ['a', 'b', 'c']);
      const alone = tested.admission(5_000, 'a', ['a', 'b', 'c']);
      tested.recordExchange('b', 5_000);
      return [rule, never, fresh, alone, tested.admission(5_500, 'a', ['a', 'b', 'c'])];
    });
    expect(admissions).toMatchSnapshot();
  });
});
