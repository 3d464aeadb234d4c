/** Messages between replicas of this version and the last one. */
import * as chai from 'chai';
import type * as domain from '@celerydrift/domain';
import * as wire from '../wire';

const { expect } = chai;

const REQUEST: domain.replication.messages.AppendRequest = {
  kind: 'appendRequest',
  from: 'a',
  term: 3,
  previousIndex: 7,
  previousTerm: 2,
  entries: [],
  commit: 6,
  sentAt: 1_000,
};

describe('replication messages', () => {
  it('carry the silence of members, after the fields that the last version knows', () => {
    const request = { ...REQUEST, silences: [{ id: 'b', ms: 700 }] };
    const packed = wire.pack(request);
    expect(packed.slice(0, 7)).to.deep.equal([2, 'a', 3, 7, 2, 6, 1_000]);
    expect(wire.unpack(JSON.parse(JSON.stringify(packed)))).to.deep.equal(request);
  });

  // Guards against timeouts that grow on one side only, as replicas of two versions misread each other's times.
  it('carry what elections measure, after the fields that the last version knows', () => {
    const request = { ...REQUEST, silences: [], quorumRoundTripMs: 900 };
    const vote = { from: 'a', term: 3, pre: true } as const;
    const logEnd = { lastIndex: 7, lastTerm: 2 };
    const asked = { kind: 'voteRequest', ...vote, ...logEnd, sentAt: 5 } as const;
    const answered = { kind: 'voteAnswer', ...vote, granted: true, knowsLeader: false } as const;
    [request, asked, answered, { ...answered, sentAt: 5 }].forEach((message) => {
      const packed = wire.pack(message);
      expect(wire.unpack(JSON.parse(JSON.stringify(packed)))).to.deep.equal(message);
    });
    expect(wire.pack(answered)).to.deep.equal([1, 'a', 3, true, true, false]);
    expect(wire.pack(asked).slice(0, 6)).to.deep.equal([0, 'a', 3, true, 7, 2]);
  });

  it('are the same as those of the last version where no member is silent', () => {
    expect(wire.pack(REQUEST)).to.deep.equal([2, 'a', 3, 7, 2, 6, 1_000]);
    expect(wire.unpack([2, 'a', 3, 7, 2, 6, 1_000])).to.deep.equal(REQUEST);
  });

  // Guards against a replica that fails in the middle of a batch, or writes what it can't read back from its journal.
  it('are ignored if a field has another type', () => {
    const packed = wire.pack({ ...REQUEST, entries: [{ kind: 'empty', index: 8, term: 3 }] });
    expect(wire.unpack(packed)).to.not.equal(undefined);
    const replacements = [null, undefined, {}, [null], 'x', { kind: 'empty', index: null }];
    packed.forEach((_, i) => {
      replacements.forEach((value) => {
        const changed = packed.map((field, at) => (at === i ? value : field));
        const isEntries = i === packed.length - 1 && value === undefined;
        const isName = i === 1 && value === 'x';
        expect(wire.unpack(changed) === undefined).to.equal(!isEntries && !isName);
      });
    });
  });
});
