/** The at-most-once ledger against a simple reference, and its answers to resends. */
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as ledger from '../ledger';

const { expect } = chai;

const LIMITS: ledger.LedgerLimits = {
  retention: 1_000,
  tombstones: 5_000,
  claimsPerOrganisation: 4,
  answerLength: 10,
};

function claim(key: string, attempt: string, at: number, content = 'c'): ledger.Claim {
  return { kind: 'claim', key, organisation: 'o', content, attempt, deadline: at + 100, at };
}

const COMMAND = fastCheck.record({
  kind: fastCheck.constantFrom('claim', 'settle', 'unknown', 'release', 'restore'),
  key: fastCheck.constantFrom('k1', 'k2', 'k3'),
  attempt: fastCheck.constantFrom('a1', 'a2', 'a3'),
  wait: fastCheck.integer({ min: 0, max: 400 }),
});

describe('ledger', () => {
  it('grants a key to a single attempt unless that attempt releases it as not run', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(COMMAND, { maxLength: 60 }), (commands) => {
        let tested = new ledger.Ledger(LIMITS);
        // The reference: the attempt that may have dispatched each key, for ever.
        const dispatchers = new Map<string, string>();
        let at = 0;
        commands.forEach(({ kind, key, attempt, wait }) => {
          at += wait;
          if (kind === 'restore') {
            tested = ledger.Ledger.restore(structuredClone(tested.snapshot()), LIMITS);
          } else if (kind === 'claim') {
            const result = tested.apply(claim(key, attempt, at));
            if (result.kind !== 'granted') return;
            expect(dispatchers.get(key) ?? attempt).to.equal(attempt);
            dispatchers.set(key, attempt);
          } else if (kind === 'release') {
            const result = tested.apply({ kind: 'release', key, attempt, at });
            if (result.kind === 'released') dispatchers.delete(key);
          } else {
            const settlement = kind === 'settle' ? 'completed' : 'unknown';
            tested.apply({ kind: 'settle', key, attempt, settlement, answer: undefined, at });
          }
        });
      }),
      { seed: 11, numRuns: 2_000 },
    );
  });

  it('answers each stage of a call to a resend', () => {
    const tested = new ledger.Ledger(LIMITS);
    const answer = { status: 201, contentType: 'text/plain', body: 'held' };
    const settle = { kind: 'settle', key: 'k', attempt: 'a', settlement: 'completed' } as const;
    expect({
      first: tested.apply(claim('k', 'a', 0)),
      grantLost: tested.apply(claim('k', 'a', 1)),
      duringRun: tested.apply(claim('k', 'b', 2)),
      otherContent: tested.apply(claim('k', 'b', 3, 'other')),
      ownerDied: tested.apply(claim('k', 'b', 101)),
      lateAnswer: tested.apply({ ...settle, answer, at: 110 }),
      afterRun: tested.apply(claim('k', 'c', 120)),
      expired: tested.apply(claim('k', 'd', 1_200)),
      forgotten: tested.apply(claim('k', 'e', 9_000)),
    }).toMatchSnapshot();
  });

  it('limits claims of an organisation and the length of answers', () => {
    const tested = new ledger.Ledger(LIMITS);
    const verdicts = ['1', '2', '3', '4', '5'].map((key) => tested.apply(claim(key, 'a', 10)).kind);
    const answer = { status: 200, contentType: 'text/plain', body: 'longer than ten' };
    const settle = { kind: 'settle', key: '1', attempt: 'a', settlement: 'completed' } as const;
    expect({ verdicts, kept: tested.apply({ ...settle, answer, at: 20 }) }).toMatchSnapshot();
  });
});
