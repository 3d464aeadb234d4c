/** Tests of the placement of prompts on engines with published engine figures. */
import * as chai from 'chai';
import * as random from '../../shared/random';
import * as allocator from '../allocator';
import * as cost from '../cost';
import * as load from '../load';
import * as fixture from './__fixtures__/engine';

const { expect } = chai;

const { ENGINE, LONG, SERVICE, request, target } = fixture;

function fleet(size: number, randomSource?: random.Random): allocator.Allocator {
  const placer = new allocator.Allocator(randomSource);
  placer.setServices([SERVICE]);
  for (let i = 0; i < size; i++) placer.observe(target(i));
  return placer;
}

describe('cost of an engine', () => {
  it('follows the published figures', () => {
    const costs = [5_000, 45_000, 154_000, 220_000].map((tokens) => {
      return [
        tokens,
        Math.round(cost.prefillMs(ENGINE, tokens)),
        cost.engineStepMs(ENGINE, 4, 20_000),
      ];
    });
    expect(costs).toMatchSnapshot();
  });
});

describe('allocator', () => {
  /*
   * Guards against innocent requests that are refused with the one that crashes engines: placed
   * together again after a crash, all of them would count the next crash too. Kept apart, only the
   * cause counts it, and a suspect with two crashes runs alone.
   */
  it('places suspects apart from each other, and alone before the last crash that is allowed', () => {
    const placer = fleet(12);
    const targetOf = (id: string, endings?: number): string | undefined => {
      return placer.place(request(id, { endings }), 0)?.target;
    };
    const suspects = Array.from({ length: 10 }, (_, i) => targetOf(`s${i}`, 1));
    expect(new Set(suspects).size).to.equal(10);
    const last = targetOf('last', 2);
    expect(suspects).not.to.include(last);
    const others = Array.from({ length: 60 }, (_, i) => targetOf(`o${i}`));
    expect(others).not.to.include(last);
    placer.endDispatch('last', 'done', 0);
    expect(Array.from({ length: 60 }, (_, i) => targetOf(`p${i}`))).to.include(last);
  });

  it('refuses no suspect when no separate engine is left', () => {
    const placer = fleet(2);
    const placed = Array.from({ length: 6 }, (_, i) =>
      placer.place(request(`s${i}`, { endings: 2 }), 0),
    );
    expect(placed.every((each) => each !== undefined)).to.equal(true);
  });

  /*
   * Guards against short streams that stall: a prompt of 154k tokens takes 3 s to prefill on one
   * engine, and every request decoding there waits for it. Divided among many engines, each part
   * stays below the gap that the callers tolerate.
   */
  it('divides a long prompt into parts that the decoding requests on each engine tolerate', () => {
    const placer = fleet(23);
    const decoderAddresses = new Set<string>();
    for (let i = 0; i < 30; i++) {
      decoderAddresses.add(placer.place(request(`s${i}`), 5_000 + i * 30)?.address ?? '');
    }
    const placed = placer.place(request('long', LONG), 6_000);
    const helpers = placed?.helpers.map(({ address }) => address) ?? [];
    const engines = [placed?.address ?? '', ...helpers];
    expect(engines.length).to.be.at.least(4);
    expect(placed?.firstTokenMs).to.be.lessThan(1_000);
    expect(engines.filter((address) => decoderAddresses.has(address))).to.deep.equal([]);
  });

  it('packs short streams, so that other engines stay free for long prefills', () => {
    const placer = fleet(23);
    const targets = new Set<string>();
    for (let i = 0; i < 20; i++) targets.add(placer.place(request(`s${i}`), i * 60)?.target ?? '');
    expect(targets.size).to.be.lessThan(6);
  });

  it('releases the slot of a request when it ends or its entry is gone', () => {
    const placer = fleet(1);
    for (let i = 0; i < 11; i++) placer.place(request(`s${i}`, { pauseMs: 1e6 }), 0);
    expect(placer.place(request('more'), 0)).to.equal(undefined);
    placer.endDispatch('s3', 'done', 10);
    expect(placer.place(request('more', { entry: 'e2' }), 10)).to.not.equal(undefined);
    placer.forgetEntry('e1', 20);
    expect(placer.size).to.equal(1);
  });

  /*
   * Guards against idle engines while requests are refused: targets announce themselves as soon as
   * they run, possibly before the first catalogue says that their service has engines.
   */
  it('uses targets that announced themselves before the catalogue came', () => {
    const placer = new allocator.Allocator();
    placer.observe(target(0));
    placer.setServices([SERVICE]);
    expect(placer.place(request('a'), 0)?.target).to.equal('t0');
  });

  it('predicts when the least busy engine becomes available', () => {
    const placer = fleet(1);
    expect(placer.nextAvailableMs('engines', 0)).to.be.lessThan(100);
    placer.place(request('long', { ...LONG, tokens: 100_000 }), 0);
    expect(placer.nextAvailableMs('engines', 0)).to.be.within(1_400, 1_700);
    expect(placer.nextAvailableMs('engines', 1_000)).to.be.within(400, 700);
    expect(placer.nextAvailableMs('other', 0)).to.equal(Infinity);
  });

  it('avoids a target that failed, unless there is no other', () => {
    const placer = fleet(2);
    const first = placer.place(request('a'), 0)?.target;
    placer.endDispatch('a', 'unreachable', 10);
    expect(placer.place(request('b'), 20)?.target).to.not.equal(first);
    placer.observe({ ...target(0), state: 'draining' });
    placer.observe({ ...target(1), state: 'draining' });
    expect(placer.place(request('c'), 20)).to.equal(undefined);
  });
});

describe('prompts larger than an engine', () => {
  const huge = { tokens: 500_000, answerTokens: 800, objectiveMs: 3_000, pauseMs: 1_000 };

  /*
   * Guards against refusing every prompt that no single engine can hold. Helpers keep what exceeds
   * the decoder's memory.
   */
  it('are kept by several engines', () => {
    const placer = fleet(8);
    const placed = placer.place(request('huge', huge), 0);
    const kept = placed?.helpers.reduce((sum, { keptTokens }) => sum + keptTokens, 0) ?? 0;
    expect(kept).to.be.greaterThan(huge.tokens + huge.answerTokens - ENGINE.memoryTokens);
    placed?.helpers.forEach(({ keptTokens }) => {
      expect(keptTokens).to.be.at.most(ENGINE.memoryTokens);
    });
  });

  it('reserve memory that later prompts then lack, and release it', () => {
    const placer = fleet(2);
    const patient = { ...huge, objectiveMs: 6_000 };
    expect(placer.place(request('huge', patient), 0)).to.not.equal(undefined);
    expect(placer.place(request('next', { ...LONG, tokens: 250_000 }), 0)).to.equal(undefined);
    placer.endDispatch('huge', 'done', 5_000);
    expect(placer.place(request('next', { ...LONG, tokens: 250_000 }), 5_000)).to.not.equal(
      undefined,
    );
  });

  it('are refused where all engines together lack the memory', () => {
    expect(fleet(1).place(request('huge', huge), 0)).to.equal(undefined);
  });
});

describe('prompts that should not be started', () => {
  /*
   * Guards against prefills whose caller leaves before the first token. Two engines need 13 s for
   * half a million tokens, and the caller leaves after 12.
   */
  it('are those whose callers will have left', () => {
    const placer = fleet(2);
    const huge = { tokens: 500_000, answerTokens: 800, objectiveMs: 3_000, pauseMs: 1_000 };
    expect(placer.place(request('huge', huge), 0)).to.equal(undefined);
  });

  /*
   * Guards against stalling every stream for one late answer: all engines decode for callers with
   * tight gaps, and a long prompt on any of them makes most of them late.
   */
  it('are those whose penalty exceeds their value', () => {
    const placer = fleet(2);
    for (let i = 0; i < 22; i++) placer.place(request(`s${i}`), i * 100);
    const long = { ...LONG, tokens: 60_000, objectiveMs: 500 };
    expect(placer.place(request('long', long), 2_300)).to.equal(undefined);
  });

  /*
   * Guards against delaying others in vain: a prompt that has already missed its objective must not
   * cause as much delay as one that can still be in time.
   */
  it('include a late prompt, though the same prompt still in time is started', () => {
    const engineCount = (waitedMs: number): number => {
      const placer = fleet(2);
      for (let i = 0; i < 8; i++) placer.place(request(`s${i}`), 0);
      const placed = placer.place(request('long', { ...LONG, waitedMs }), 800);
      return placed === undefined ? 0 : placed.helpers.length + 1;
    };
    expect([engineCount(0), engineCount(4_000)]).to.deep.equal([2, 0]);
  });

  /*
   * Guards against entries without a leader that choose the same engines: when the leader froze, 59
   * entries placed by their own few dispatches in the same order, and requests waited for seconds
   * on three engines while 75 were idle.
   */
  it("doesn't choose the same engines in all entries without a leader", () => {
    const chosen = new Set<string>();
    for (let entry = 0; entry < 12; entry++) {
      const placer = fleet(20, random.seeded(entry));
      chosen.add(placer.place(request('r1'), 0)?.target ?? '');
    }
    expect(chosen.size).to.be.greaterThan(6);
  });

  /*
   * Guards against an entry without a leader that takes all engines for idle, as it knows only its
   * own dispatches: it divided one prompt among 17 of them, and all decoding requests paused for
   * two seconds.
   */
  it('assumes decoding requests that an entry without a leader does not see', () => {
    const leader = fleet(21);
    for (let i = 0; i < 120; i++) leader.place(request(`s${i}`, { pauseMs: 250 }), i * 40);
    const partsIn = (entry: allocator.Allocator): number => {
      const placed = entry.place(request('long', { ...LONG, tokens: 470_000 }), 5_000);
      return (placed?.helpers.length ?? -1) + 1;
    };
    const entry = fleet(21, random.seeded(1));
    expect(partsIn(entry)).to.be.greaterThan(11);
    entry.endDispatch('long', 'done', 5_000);
    entry.assumeAverageLoads(leader.averageLoadByService());
    expect(partsIn(entry)).to.be.lessThan(5);
    entry.endDispatch('long', 'done', 5_000);
    entry.assumeAverageLoads([{ service: 'engines', value: 0, pauseMs: 0 }]);
    expect(partsIn(entry)).to.be.greaterThan(11);
  });

  /*
   * Guards against an engine that becomes four times slower and still gets a part of each long
   * prompt, as only failed outcomes counted against it.
   */
  it('learns from the inter-token gaps which engine is slow, and when it has recovered', () => {
    const placer = fleet(2);
    let slow = 't0';
    const decode = (more: Partial<allocator.Request> = {}): string => {
      const { target: id = '' } = placer.place(request('r', more), 0) ?? {};
      placer.endDispatch('r', 'done', 0, { gapMs: id === slow ? 4 * 43 : 43 });
      return id;
    };
    for (let i = 0; i < 10; i++) decode();
    expect(decode()).to.equal('t1');
    slow = '';
    for (let i = 0; i < 30; i++) decode({ excluded: ['t1'] });
    expect(decode({ excluded: [] })).to.equal('t0');
  });

  /*
   * Guards against sending many prompts to an engine that stopped while the keepers were down but
   * is still in their stored state: prompts with similar gaps are packed together, so 16 of them
   * waited 1.6 s there and failed while other engines were idle.
   */
  it('sends one request to an engine loaded from disk until it announces itself', () => {
    const placer = fleet(0);
    [0, 1, 2].forEach((index) => placer.observe({ ...target(index), isRemembered: true }));
    const targets = [1, 2, 3, 4].map((id) => placer.place(request(`r${id}`), 0)?.target);
    expect([...targets].sort()).to.deep.equal(['t0', 't1', 't2', undefined]);
    placer.observe(target(1));
    expect(placer.place(request('r5'), 100)?.target).to.equal('t1');
    expect(placer.place(request('r6'), 100)?.target).to.equal('t1');
  });

  /*
   * Guards against engines loaded from disk that help with no prompt, which makes long prompts
   * late, or with several, all of which fail if the engine has stopped.
   */
  it('lets each engine loaded from disk help with one prompt', () => {
    const placer = fleet(0);
    for (let i = 0; i < 10; i++) placer.observe({ ...target(i), isRemembered: true });
    const first = placer.place(request('long1', LONG), 0);
    const second = placer.place(request('long2', LONG), 0);
    const used = [first, second].flatMap((each) => {
      return each === undefined ? [] : [each.target, ...each.helpers.map(({ target: id }) => id)];
    });
    expect(first?.helpers.length).to.be.greaterThan(1);
    expect(new Set(used).size).to.equal(used.length);
  });

  /*
   * Guards against a leader that is unresponsive for half a second, as it plans each of hundreds of
   * returning prompts over 150 engines. Engines of the caller's data centre are enough while they
   * have room; then the others are considered too.
   */
  it('chooses among the nearby engines of a large fleet while they have room', () => {
    const placer = fleet(0);
    for (let i = 0; i < 150; i++) {
      placer.observe({ ...target(i), dataCentre: `dc${i % 5}` });
    }
    const dataCentres = Array.from({ length: 400 }, (_each, i) => {
      const placed = placer.place(request(`r${i}`, { dataCentre: 'dc2' }), i);
      return Number(placed?.target.slice(1)) % 5;
    });
    const nearbyCount = dataCentres.filter((dataCentre) => dataCentre === 2).length;
    expect(dataCentres.slice(0, 100).every((dataCentre) => dataCentre === 2)).to.equal(true);
    // 30 engines with 11 slots, fewer while they prefill; the excess goes elsewhere, and nothing is
    // refused.
    expect(nearbyCount).to.be.within(100, 330);
    expect(dataCentres.some(Number.isNaN)).to.equal(false);
  });
});

describe('a fleet of thousands of engines', () => {
  /*
   * Guards against prompts that wait seconds while most engines are idle: planning each prompt over
   * all 3,000 engines takes longer than the interval between prompts.
   */
  it('considers a bounded number of engines per prompt, and finds idle ones', () => {
    const placer = fleet(3_000);
    const considered = new Set<load.Load>();
    const { get } = Object.getOwnPropertyDescriptor(load.Load.prototype, 'freeMemory') ?? {};
    Object.defineProperty(load.Load.prototype, 'freeMemory', {
      configurable: true,
      get(this: load.Load) {
        considered.add(this);
        return get?.call(this);
      },
    });
    const consideredCounts: number[] = [];
    const waits: number[] = [];
    for (let i = 0; i < 100; i++) {
      considered.clear();
      const placed = placer.place(request(`r${i}`, i % 10 === 0 ? LONG : {}), 0);
      consideredCounts.push(considered.size);
      waits.push(placed?.firstTokenMs ?? Infinity);
    }
    Object.defineProperty(load.Load.prototype, 'freeMemory', { configurable: true, get });
    expect(Math.max(...consideredCounts)).to.be.at.most(400);
    expect(Math.max(...waits.filter((_each, i) => i % 10 !== 0))).to.be.below(300);
    expect(Math.max(...waits)).to.be.below(3_000);
  });
});
