/** When an overdue attempt is given up for another target, without a network. */
import * as chai from 'chai';
import type * as livenessVerdict from '../livenessVerdict';
import * as succession from '../succession';

const { expect } = chai;

/** Longer than the pause between two searches. */
const PAUSE_MS = 1_000;

interface Scene {
  /** What is known of each target that is offered in turn; none is free after the last. */
  verdicts: livenessVerdict.Verdict[];
  mayMove?: boolean;
  /** Whether prefill helpers have the memory that the request needs there. */
  hasMemory?: boolean;
  searches?: number;
  /** Number of probes after which the present target sends on. */
  recoversAfterProbes?: number;
}

/** Names of the targets that were released, and of the one that took over. */
async function seek({
  verdicts,
  mayMove = true,
  hasMemory = true,
  searches = 1,
  recoversAfterProbes = Infinity,
}: Scene): Promise<{
  released: string[];
  successor: string | undefined;
}> {
  const released: string[] = [];
  let probes = 0;
  let successor: string | undefined;
  const tested = new succession.Succession({
    choose: async (excluded) => {
      const target = `t${excluded.length}`;
      if (excluded.length >= verdicts.length) return { kind: 'noPlace', retryAfterMs: 1 };
      const placement = { target, address: '', helpers: [], firstTokenMs: 0 };
      return { kind: 'placed', placement, release: () => released.push(target) };
    },
    liveness: {
      isRefusing: () => false,
      check: async (target) => {
        probes += 1;
        return verdicts[Number(target.slice(1))];
      },
    },
    newMemory: () =>
      ({
        reserveAll: async () => hasMemory,
        release: () => undefined,
      }) as unknown as succession.Successor['memory'],
    mayMove: () => mayMove,
    now: () => searchedAt,
  });
  let searchedAt = 0;
  for (let i = 0; i < searches; i++) {
    await tested.seek({
      ...{ target: 'own', hasAttemptsLeft: () => true, isResponsive: async () => false },
      isOverdue: () => probes < recoversAfterProbes,
      giveUp: ({ choice }) => {
        successor = choice.placement.target;
      },
    });
    searchedAt += PAUSE_MS;
  }
  return { released, successor };
}

describe('succession', () => {
  it('passes over targets that do not respond', async () => {
    expect(await seek({ verdicts: ['silent', 'unknown', 'alive'] })).to.deep.equal({
      released: ['t0', 't1'],
      successor: 't2',
    });
  });

  // Guards against a search that always ends at the same few targets, while the one that responds is never tried.
  it('goes on where the last search ended', async () => {
    const verdicts: livenessVerdict.Verdict[] = ['silent', 'dead', 'unasked', 'alive'];
    expect((await seek({ verdicts, searches: 1 })).successor).to.equal(undefined);
    expect((await seek({ verdicts, searches: 2 })).successor).to.equal('t3');
  });

  it('accepts a target that responds to another VM', async () => {
    expect((await seek({ verdicts: ['pathLost'] })).successor).to.equal('t0');
  });

  // Guards against an answer that ends although its target is sound: all targets are silent at once.
  it('keeps the attempt while no other target responds', async () => {
    const { successor } = await seek({ verdicts: ['silent', 'dead', 'unasked'], searches: 3 });
    expect(successor).to.equal(undefined);
  });

  // Guards against places that stay taken after a search without a use for them.
  it('releases the place if the present target sends on, or the request may not move', async () => {
    const kept = { released: ['t0'], successor: undefined };
    expect(await seek({ verdicts: ['alive'], recoversAfterProbes: 1 })).to.deep.equal(kept);
    expect(await seek({ verdicts: ['alive'], mayMove: false })).to.deep.equal(kept);
    expect(await seek({ verdicts: ['alive'], hasMemory: false })).to.deep.equal(kept);
  });
});
