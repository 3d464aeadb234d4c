/** Tests of placement on engines that announce a rate limit. */
import * as chai from 'chai';
import * as rateLimits from '../../rateLimits/rateLimits';
import * as allocator from '../allocator';
import * as fixture from './__fixtures__/engine';

const { expect } = chai;

const { LONG, SERVICE, request, target } = fixture;

/** Exceeds the memory of one engine. */
const LARGER = { ...LONG, tokens: 400_000 };

interface Fleet {
  limits: rateLimits.RateLimits;
  placer: allocator.Allocator;
}

/** The first `limited` of `size` engines take one request a second. */
function fleet(size: number, limited: number): Fleet {
  const limits = new rateLimits.RateLimits();
  limits.setShare(1, 0);
  const placer = new allocator.Allocator(undefined, undefined, limits);
  placer.setServices([SERVICE]);
  for (let i = 0; i < size; i++) placer.observe(target(i));
  for (let i = 0; i < limited; i++) limits.set({ ...target(i), perSecond: 1 }, 0);
  return { limits, placer };
}

describe('engines with a rate limit', () => {
  /** Guards against parts that bypass the limit: a prefill helper gets a message as well. */
  it('are charged for each prompt that they decode or help to prefill', () => {
    const { limits, placer } = fleet(4, 4);
    const placed = placer.place(request('long', LONG), 1_000);
    const used = [placed?.target, ...(placed?.helpers ?? []).map((helper) => helper.target)];
    expect(used.length).to.be.above(1);
    const left = [0, 1, 2, 3].map((i) => limits.maySend(target(i), 1_000));
    expect(left).to.deep.equal([0, 1, 2, 3].map((i) => !used.includes(`t${i}`)));
  });

  it('are avoided until their limits admit a request', () => {
    const { placer } = fleet(2, 1);
    const targets = ['a', 'b', 'c'].map((id) => placer.place(request(id), 0)?.target);
    expect(targets).to.deep.equal(['t1', 't1', 't1']);
  });

  /** Guards against reservations on rate-limited engines, each of which takes several messages. */
  it('keep no memory for decoders while engines without a limit have room', () => {
    const { placer } = fleet(8, 4);
    const placed = placer.place(request('larger', LARGER), 1_000);
    const kept = placed?.helpers.filter(({ keptTokens }) => keptTokens > 0) ?? [];
    expect(kept.length).to.be.above(0);
    expect(kept.filter(({ target: id }) => ['t0', 't1', 't2', 't3'].includes(id))).to.deep.equal(
      [],
    );
  });

  it('keep memory where all are limited, as the prompt could not be served otherwise', () => {
    const { placer } = fleet(4, 4);
    expect(placer.place(request('larger', LARGER), 1_000)).to.not.equal(undefined);
  });

  /** Load: more prompts than warm engines take in time. Guards against cold engines that serve first, or never. */
  it('are used after warm ones if they are cold, as far as their rate allows', () => {
    const { limits, placer } = fleet(3, 0);
    limits.setColdShare(() => 1, 0);
    limits.set({ ...target(0), perSecond: 2, source: 'cold' }, 0);
    const place = (i: number): string | undefined => placer.place(request(`r${i}`), 5_000)?.target;
    const targets = Array.from({ length: 24 }, (_, i) => place(i));
    expect(new Set(targets.slice(0, 6))).to.deep.equal(new Set(['t1', 't2']));
    expect(targets.filter((id) => id === 't0')).to.have.length(1);
  });

  /**
   * Load: all engines of the caller's data centre are cold at once. Guards against prompts that stay there while the
   * engines elsewhere are idle.
   */
  it('leave prompts to the other data centres while these serve in time', () => {
    const { limits, placer } = fleet(60, 0);
    limits.setColdShare(() => 1, 0);
    for (let i = 0; i < 60; i++)
      placer.observe({ ...target(i), dataCentre: i < 30 ? 'east' : 'west' });
    for (let i = 0; i < 30; i++) limits.set({ ...target(i), perSecond: 17, source: 'cold' }, 0);
    const placements = Array.from({ length: 60 }, (_, i) => placer.place(request(`r${i}`), 5_000));
    const onCold = placements.filter((each) => Number(each?.target.slice(1)) < 30);
    expect([placements.includes(undefined), onCold.length]).to.deep.equal([false, 0]);
  });

  it('report how long they admit nothing, with the requests queued ahead', () => {
    const { placer } = fleet(2, 2);
    expect([
      placer.limitedForMs('engines', 0, 0),
      placer.limitedForMs('engines', 4, 0),
    ]).to.deep.equal([1_000, 3_000]);
    expect(fleet(2, 1).placer.limitedForMs('engines', 4, 0)).to.equal(0);
  });
});
