/** Which entries the leader names to an entry for relaying its messages. */
import * as chai from 'chai';
import * as messages from '../../fleet/messages';
import * as observer from '../../observability/observer';
import * as peerClient from '../../rpc/peerClient';
import * as followers from '../followers';

const { expect } = chai;

const DATA_CENTRES = ['east', 'west', 'south'];

/** Followers `e0`, `e1` and so on, in the three data centres in turn, with the scopes that each has lost. */
function followersWith(lostScopes: readonly (readonly string[])[]): followers.Followers {
  const client = new peerClient.PeerClient(
    'secret',
    undefined,
    new observer.Observer('test', 'fatal', undefined),
  );
  const known = new followers.Followers(
    client,
    () => 0,
    () => undefined,
    () => undefined,
  );
  lostScopes.forEach((lost, i) => {
    known.recordPoll({
      name: `e${i}`,
      role: 'entry',
      address: `e${i}`,
      dataCentre: DATA_CENTRES[i % DATA_CENTRES.length],
      version: 1,
      mark: messages.NO_VERSION,
      suspects: [],
      dispatches: [],
      limits: [],
      records: [],
      isRelay: true,
      lostScopes: lost,
      replica: undefined,
    });
  });
  return known;
}

function relaysOf(lostScopes: readonly (readonly string[])[], asking: number): string[] {
  const known = followersWith(lostScopes);
  const request = { name: `e${asking}`, dataCentre: DATA_CENTRES[asking % 3] };
  return known
    .relaysFor({ ...request, lostScopes: lostScopes[asking] })
    .map(({ address }) => address);
}

describe('relays of an entry', () => {
  it('are three of its data centre and three of others', () => {
    const relays = relaysOf(
      Array.from({ length: 30 }, () => []),
      4,
    );
    const local = relays.filter((each) => Number(each.slice(1)) % 3 === 1);
    expect([relays.length, local.length, relays.includes('e4')]).to.deep.equal([6, 3, false]);
  });

  /** Guards against a data centre that loses its paths and sends everything by way of the same few entries. */
  it('are different ones for neighbours in the same data centre', () => {
    const lost = Array.from({ length: 60 }, () => []);
    const remote = [0, 3, 6, 9].flatMap((asking) => relaysOf(lost, asking).slice(3));
    expect(new Set(remote).size).to.equal(remote.length);
  });

  /** Guards against an entry of a small fleet that isn't told of the only VM that reaches a service. */
  it('are all others in a small fleet', () => {
    const relays = relaysOf(
      Array.from({ length: 7 }, () => []),
      4,
    );
    expect(relays.sort()).to.deep.equal(['e0', 'e1', 'e2', 'e3', 'e5', 'e6']);
  });

  /** Guards against relays that have lost the same targets while others of the fleet reach them. */
  it('reach what it has lost, as far as any do', () => {
    const lost = Array.from({ length: 60 }, (_, i) => {
      if (i === 50) return ['plain'];
      return i === 51 ? ['engines', 'engines@east'] : ['engines', 'plain'];
    });
    expect(relaysOf(lost, 4)).to.include.members(['e50', 'e51']);
  });
});
