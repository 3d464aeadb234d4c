/** What a keeper reports while the keepers have no leader. */
import * as chai from 'chai';
import type * as domain from '@celerydrift/domain';
import * as quorumWatch from '../quorumWatch';

const { expect } = chai;

const VOTERS = ['a', 'b', 'c'].map((id): domain.replication.messages.Member => {
  return { id, address: `vm-${id}`, dataCentre: 'east', role: 'voter' };
});

describe('quorum watch', () => {
  let now: number;
  let lines: { name: string; fields: object | undefined }[];
  let watch: quorumWatch.QuorumWatch;

  const replica = (leader: string, voters = VOTERS): Parameters<typeof watch.check>[0] => ({
    state: leader === '' ? 'preCandidate' : 'follower',
    leader,
    term: 7,
    voters,
    votersHeardSince: () => voters.slice(0, 1),
    hasQuorumContact: () => false,
  });

  /** Checks every 100 ms until a time. */
  const checkUntil = (until: number, checked = replica('')): void => {
    for (; now < until; now += 100) watch.check(checked);
  };

  beforeEach(() => {
    now = 0;
    lines = [];
    const log = (name: string, fields?: object): void => {
      lines.push({ name, fields });
    };
    watch = new quorumWatch.QuorumWatch({ observer: { log }, now: () => now });
  });

  // Guards against keepers without a quorum whose logs don't say so, nor which VMs would restore it.
  it('names the voters that are silent, at intervals, and the end', () => {
    checkUntil(6_600);
    checkUntil(6_700, replica('b'));
    const missing = { term: 7, needed: 2, heard: ['vm-a'], silent: ['vm-b', 'vm-c'] };
    expect(lines).to.deep.equal([
      { name: 'quorumMissing', fields: { sinceMs: 1_500, ...missing } },
      { name: 'quorumMissing', fields: { sinceMs: 6_500, ...missing } },
      { name: 'quorumRegained', fields: { afterMs: 6_600 } },
    ]);
    expect(watch.missingMs).to.equal(0);
  });

  it('reports no election, and nothing on a spare', () => {
    checkUntil(1_000);
    checkUntil(1_100, replica('b'));
    checkUntil(9_000, replica('', []));
    expect(lines).to.deep.equal([]);
  });
});
