/** Which outcomes and denied permits another attempt may follow. */
import * as chai from 'chai';
import type * as outcomes from '../outcome';
import type * as quarantineClient from '../quarantineClient';
import * as retryPolicy from '../retryPolicy';

const { expect } = chai;

type Standing = quarantineClient.Standing;

/** A repeatable request that was sent to one target and got nothing. */
const WAITING: retryPolicy.State = {
  isOver: false,
  isBegun: false,
  isUnrecoverable: false,
  isRepeatable: true,
  isAdmissible: true,
  mayHaveRun: true,
  hasAttemptsLeft: true,
  hasSuccessor: false,
  standing: 'free',
  elapsedMs: 200,
  timeLeftMs: 1_000,
  patienceMs: 300,
};

const STREAMING = { ...WAITING, isBegun: true };

const FAILED: outcomes.Outcome = { kind: 'failed', ending: 'broken', detail: '', isCut: true };
const REFUSED: outcomes.Outcome = { kind: 'notRun', ending: 'full', detail: '' };
const UNREACHABLE: outcomes.Outcome = { kind: 'notRun', ending: 'unreachable', detail: '' };
const UNPLACED: outcomes.Outcome = { kind: 'unplaced', detail: '', retryAfterMs: 300 };

const QUARANTINED: quarantineClient.Denial = { kind: 'quarantined', retryAfterMs: undefined };
const PART_QUARANTINED: quarantineClient.Denial = { kind: 'quarantined', retryAfterMs: 500 };
const BUSY: quarantineClient.Denial = { kind: 'busy', isCopy: false };
const COPY_BUSY: quarantineClient.Denial = { kind: 'busy', isCopy: true };

/** The state with one property changed. */
function but(change: Partial<retryPolicy.State>): retryPolicy.State {
  return { ...WAITING, ...change };
}

describe('the retry policy', () => {
  it('lets only failures and refusals be followed by a retry at once', () => {
    const final: outcomes.Outcome[] = [
      { kind: 'answered' },
      { kind: 'withheld' },
      { kind: 'noMemory' },
      { kind: 'gone' },
      { kind: 'late' },
      UNPLACED,
    ];
    final.forEach((each) => expect(retryPolicy.retryCost(each, WAITING)).to.equal(undefined));
    expect(retryPolicy.retryCost(FAILED, WAITING)).to.equal('budget');
    expect(retryPolicy.retryCost(REFUSED, WAITING)).to.equal('budget');
  });

  it('takes nothing for a target that was not reached, or for a successor, which is paid', () => {
    expect(retryPolicy.retryCost(UNREACHABLE, WAITING)).to.equal('free');
    expect(retryPolicy.retryCost(FAILED, but({ hasSuccessor: true }))).to.equal('free');
  });

  it('retries what may have run only if it is repeatable', () => {
    const unsafe = but({ isRepeatable: false });
    expect(retryPolicy.retryCost(FAILED, unsafe)).to.equal(undefined);
    expect(retryPolicy.retryCost(REFUSED, unsafe)).to.equal('budget');
    expect(retryPolicy.retryCost(UNREACHABLE, unsafe)).to.equal('free');
  });

  it('does not retry without time, attempts, or a beginning that can be continued', () => {
    const final = [
      but({ isUnrecoverable: true }),
      but({ hasAttemptsLeft: false }),
      but({ timeLeftMs: 0 }),
    ];
    final.forEach((state) => {
      [FAILED, REFUSED, UNREACHABLE].forEach((outcome) =>
        expect(retryPolicy.retryCost(outcome, state)).to.equal(undefined),
      );
    });
  });

  it('does not retry what the quarantine keeps from running', () => {
    const costs: Record<Standing, retryPolicy.RetryCost | undefined> = {
      free: 'budget',
      suspected: 'budget',
      partQuarantined: undefined,
      quarantined: undefined,
    };
    const seen = Object.keys(costs).map((standing) => [
      standing,
      retryPolicy.retryCost(FAILED, but({ standing: standing as Standing })),
    ]);
    expect(Object.fromEntries(seen)).to.deep.equal(costs);
  });

  it('reads the standing last, as that is expensive', () => {
    const state = Object.defineProperty(but({ hasAttemptsLeft: false }), 'standing', {
      get: () => {
        throw new Error('read');
      },
    });
    expect(retryPolicy.retryCost(FAILED, state)).to.equal(undefined);
    expect(retryPolicy.isContinuable(state)).to.equal(false);
  });

  it('continues only streams that have begun, whose caller waits, and that another target may go on with', () => {
    expect(retryPolicy.isContinuable(STREAMING)).to.equal(true);
    expect(retryPolicy.isContinuable({ ...STREAMING, standing: 'partQuarantined' })).to.equal(true);
    const final: Partial<retryPolicy.State>[] = [
      { isBegun: false },
      { isOver: true },
      { isUnrecoverable: true },
      { isRepeatable: false },
      { standing: 'quarantined' },
    ];
    final.forEach((change) =>
      expect(retryPolicy.isContinuable({ ...STREAMING, ...change })).to.equal(false),
    );
  });

  it('gives up an attempt only where the request may run and be completed elsewhere', () => {
    expect(retryPolicy.mayMove(STREAMING)).to.equal(true);
    const staying: Partial<retryPolicy.State>[] = [
      { isAdmissible: false },
      { isUnrecoverable: true },
      { standing: 'suspected' },
    ];
    staying.forEach((change) =>
      expect(retryPolicy.mayMove({ ...STREAMING, ...change })).to.equal(false),
    );
  });

  it('waits for the canary run of a request that has run, or briefly if it is probably innocent', () => {
    const unsent = but({ mayHaveRun: false });
    expect(retryPolicy.awaitsCanary(BUSY, unsent)).to.equal(true);
    expect(retryPolicy.awaitsCanary(BUSY, { ...unsent, elapsedMs: 300 })).to.equal(false);
    expect(retryPolicy.awaitsCanary(COPY_BUSY, unsent)).to.equal(false);
    expect(retryPolicy.awaitsCanary(COPY_BUSY, WAITING)).to.equal(true);
    expect(retryPolicy.awaitsCanary(QUARANTINED, WAITING)).to.equal(false);
  });

  it('waits for the release of a part only with a stream that has begun', () => {
    expect(retryPolicy.awaitsRelease(PART_QUARANTINED, STREAMING)).to.equal(true);
    expect(retryPolicy.awaitsRelease(PART_QUARANTINED, WAITING)).to.equal(false);
    expect(retryPolicy.awaitsRelease(QUARANTINED, STREAMING)).to.equal(false);
    expect(retryPolicy.awaitsRelease(BUSY, STREAMING)).to.equal(false);
  });
});
