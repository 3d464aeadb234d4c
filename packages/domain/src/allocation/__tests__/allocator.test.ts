/** Placement of prompts on engines, with the users' published figures. */
import * as chai from 'chai';
import * as random from '../../shared/random';
import * as allocator from '../allocator';
import * as cost from '../cost';
import * as load from '../load';
import * as fixture from './__fixtures__/engine';

const { expect } = chai;

const { ENGINE, LONG, SERVICE, request, target } = fixture;

function fleet(size: number, chance?: random.Random): allocator.Allocator {
  const made = new allocator.Allocator(chance);
  made.setServices([SERVICE]);
  for (let i = 0; i < size; i++) made.observe(target(i));
  return made;
}

describe('cost of an engine', () => {
  it('follows the published figures', () => {
    const readings = [5_000, 45_000, 154_000, 220_000].map((tokens) => {
      return [
        tokens,
        Math.round(cost.readMs(ENGINE, tokens)),
        cost.engineStepMs(ENGINE, 4, 20_000),
      ];
    });
    expect(readings).toMatchSnapshot();
  });
});

describe('allocator', () => {
  /*
   * Ten requests ran beside one that crashed their engine. Sent on together they were blamed for the next crash together, and
   * refused with the culprit after the third. Apart, each can be told from the others; whoever is blamed twice runs alone.
   */
  it('places suspects apart from each other, and alone before the last end that is allowed', () => {
    const made = fleet(12);
    const where = (id: string, endings?: number): string | undefined => {
      return made.place(request(id, { endings }), 0)?.target;
    };
    const suspects = Array.from({ length: 10 }, (_, i) => where(`s${i}`, 1));
    expect(new Set(suspects).size).to.equal(10);
    const last = where('last', 2);
    expect(suspects).not.to.include(last);
    const others = Array.from({ length: 60 }, (_, i) => where(`o${i}`));
    expect(others).not.to.include(last);
    made.ended('last', 'done', 0);
    expect(Array.from({ length: 60 }, (_, i) => where(`p${i}`))).to.include(last);
  });

  it('refuses no suspect for want of an engine apart', () => {
    const made = fleet(2);
    const placed = Array.from({ length: 6 }, (_, i) =>
      made.place(request(`s${i}`, { endings: 2 }), 0),
    );
    expect(placed.every((each) => each !== undefined)).to.equal(true);
  });

  /*
   * Readers of short summaries would see their text stop for seconds. A prompt of 154k tokens takes 3 s to
   * read on one engine, and all who write there wait for it; over many engines each waits under the pause
   * that its callers bear.
   */
  it('reads a long prompt in parts that the writers on each engine bear', () => {
    const made = fleet(23);
    const hosts = new Set<string>();
    for (let i = 0; i < 30; i++) {
      hosts.add(made.place(request(`s${i}`), 5_000 + i * 30)?.address ?? '');
    }
    const placed = made.place(request('long', LONG), 6_000);
    const helpers = placed?.helpers.map(({ address }) => address) ?? [];
    const engines = [placed?.address ?? '', ...helpers];
    expect(engines.length).to.be.at.least(4);
    expect(placed?.firstTokenMs).to.be.lessThan(1_000);
    expect(engines.filter((address) => hosts.has(address))).to.deep.equal([]);
  });

  it('packs short streams, so that other engines stay clear for long readings', () => {
    const made = fleet(23);
    const targets = new Set<string>();
    for (let i = 0; i < 20; i++) targets.add(made.place(request(`s${i}`), i * 60)?.target ?? '');
    expect(targets.size).to.be.lessThan(6);
  });

  it('gives the place of a request back when it ended or its entry is gone', () => {
    const made = fleet(1);
    for (let i = 0; i < 11; i++) made.place(request(`s${i}`, { pauseMs: 1e6 }), 0);
    expect(made.place(request('more'), 0)).to.equal(undefined);
    made.ended('s3', 'done', 10);
    expect(made.place(request('more', { entry: 'e2' }), 10)).to.not.equal(undefined);
    made.forgetEntry('e1', 20);
    expect(made.size).to.equal(1);
  });

  /*
   * Half of the engines would stay idle while callers are refused. Targets announce themselves as soon as they
   * run, and the first catalogue, which says that their service has engines, comes later.
   */
  it('uses targets that announced themselves before the catalogue came', () => {
    const made = new allocator.Allocator();
    made.observe(target(0));
    made.setServices([SERVICE]);
    expect(made.place(request('a'), 0)?.target).to.equal('t0');
  });

  it('predicts when the least busy engine is free again', () => {
    const made = fleet(1);
    expect(made.nextPlaceMs('engines', 0)).to.be.lessThan(100);
    made.place(request('long', { ...LONG, tokens: 100_000 }), 0);
    expect(made.nextPlaceMs('engines', 0)).to.be.within(1_400, 1_700);
    expect(made.nextPlaceMs('engines', 1_000)).to.be.within(400, 700);
    expect(made.nextPlaceMs('other', 0)).to.equal(Infinity);
  });

  it('passes over a target that failed, unless there is no other', () => {
    const made = fleet(2);
    const first = made.place(request('a'), 0)?.target;
    made.ended('a', 'unreachable', 10);
    expect(made.place(request('b'), 20)?.target).to.not.equal(first);
    made.observe({ ...target(0), state: 'draining' });
    made.observe({ ...target(1), state: 'draining' });
    expect(made.place(request('c'), 20)).to.equal(undefined);
  });
});

describe('prompts larger than an engine', () => {
  const huge = { tokens: 500_000, answerTokens: 800, objectiveMs: 3_000, pauseMs: 1_000 };

  /*
   * Callers with the longest histories would always be refused: no engine holds 500k tokens. Helpers keep
   * what the writer's engine has no room for.
   */
  it('are kept by several engines', () => {
    const made = fleet(8);
    const placed = made.place(request('huge', huge), 0);
    const kept = placed?.helpers.reduce((sum, { keptTokens }) => sum + keptTokens, 0) ?? 0;
    expect(kept).to.be.greaterThan(huge.tokens + huge.answerTokens - ENGINE.memoryTokens);
    placed?.helpers.forEach(({ keptTokens }) => {
      expect(keptTokens).to.be.at.most(ENGINE.memoryTokens);
    });
  });

  it('take their memory from what later prompts find free, and give it back', () => {
    const made = fleet(2);
    const patient = { ...huge, objectiveMs: 6_000 };
    expect(made.place(request('huge', patient), 0)).to.not.equal(undefined);
    expect(made.place(request('next', { ...LONG, tokens: 250_000 }), 0)).to.equal(undefined);
    made.ended('huge', 'done', 5_000);
    expect(made.place(request('next', { ...LONG, tokens: 250_000 }), 5_000)).to.not.equal(
      undefined,
    );
  });

  it('find no place where all engines together have no room', () => {
    expect(fleet(1).place(request('huge', huge), 0)).to.equal(undefined);
  });
});

describe('prompts that nobody should begin', () => {
  /*
   * Callers wait seconds for a refusal, or for a token that comes after they left, while an engine reads for
   * nobody. Two engines need 13 s for half a million tokens, and their caller leaves after 12.
   */
  it('are those whose callers will have left', () => {
    const made = fleet(2);
    const huge = { tokens: 500_000, answerTokens: 800, objectiveMs: 3_000, pauseMs: 1_000 };
    expect(made.place(request('huge', huge), 0)).to.equal(undefined);
  });

  /*
   * Everybody's text would stop for one late answer. All engines write for callers with tight pauses, and a long
   * prompt, read anywhere, makes most of them late.
   */
  it('are those that spoil more than they are worth', () => {
    const made = fleet(2);
    for (let i = 0; i < 22; i++) made.place(request(`s${i}`), i * 100);
    const long = { ...LONG, tokens: 60_000, objectiveMs: 500 };
    expect(made.place(request('long', long), 2_300)).to.equal(undefined);
  });

  /*
   * Others would be late for nothing. A prompt that has waited past its objective is late in any case; it may no
   * longer spoil the pauses of those who write, as one that can still be in time may.
   */
  it('spoils less for a prompt that is late already', () => {
    const spoiledBy = (waitedMs: number): number => {
      const made = fleet(2);
      for (let i = 0; i < 8; i++) made.place(request(`s${i}`), 0);
      const placed = made.place(request('long', { ...LONG, waitedMs }), 800);
      return placed === undefined ? 0 : placed.helpers.length + 1;
    };
    expect([spoiledBy(0), spoiledBy(4_000)]).to.deep.equal([2, 0]);
  });

  /*
   * Readers waited for seconds on three engines while 75 stood idle. The leader froze; 59 entries chose engines by
   * themselves, each by its own few dispatches, and in the same order.
   */
  it("doesn't choose the same engines in all entries that choose by themselves", () => {
    const chosen = new Set<string>();
    for (let entry = 0; entry < 12; entry++) {
      const made = fleet(20, random.seeded(entry));
      chosen.add(made.place(request('r1'), 0)?.target ?? '');
    }
    expect(chosen.size).to.be.greaterThan(6);
  });

  /*
   * All who wrote anywhere paused for two seconds. An entry that had lost the leader took all engines for idle, as it
   * knew its own dispatches alone, and had one prompt read by 17 of them, a second each.
   */
  it('spares writers that it may not see, in an entry that chooses by itself', () => {
    const leader = fleet(21);
    for (let i = 0; i < 120; i++) leader.place(request(`s${i}`, { pauseMs: 250 }), i * 40);
    const partsIn = (entry: allocator.Allocator): number => {
      const placed = entry.place(request('long', { ...LONG, tokens: 470_000 }), 5_000);
      return (placed?.helpers.length ?? -1) + 1;
    };
    const entry = fleet(21, random.seeded(1));
    expect(partsIn(entry)).to.be.greaterThan(11);
    entry.ended('long', 'done', 5_000);
    entry.assume(leader.averages());
    expect(partsIn(entry)).to.be.lessThan(5);
    entry.ended('long', 'done', 5_000);
    entry.assume([{ service: 'engines', value: 0, pauseMs: 0 }]);
    expect(partsIn(entry)).to.be.greaterThan(11);
  });

  /*
   * Long prompts were late on idle engines. One engine had turned four times slower, and went on getting a
   * part of each, as only outcomes that fail were counted against it.
   */
  it('learns from the pauses of answers which engine is slow, and when it is well again', () => {
    const made = fleet(2);
    let slow = 't0';
    const write = (more: Partial<allocator.Request> = {}): string => {
      const { target: id = '' } = made.place(request('r', more), 0) ?? {};
      made.ended('r', 'done', 0, { gapMs: id === slow ? 4 * 43 : 43 });
      return id;
    };
    for (let i = 0; i < 10; i++) write();
    expect(write()).to.equal('t1');
    slow = '';
    for (let i = 0; i < 30; i++) write({ excluded: ['t1'] });
    expect(write({ excluded: [] })).to.equal('t0');
  });

  /*
   * Sixteen prompts waited 1.6 s at one engine and then failed, while others were idle. The engine had ended while
   * the keepers were down; their disks still named it, and those with equally tight pauses are packed together.
   */
  it('gives a remembered engine one request until it has spoken', () => {
    const made = fleet(0);
    [0, 1, 2].forEach((index) => made.observe({ ...target(index), isRemembered: true }));
    const targets = [1, 2, 3, 4].map((id) => made.place(request(`r${id}`), 0)?.target);
    expect([...targets].sort()).to.deep.equal(['t0', 't1', 't2', undefined]);
    made.observe(target(1));
    expect(made.place(request('r5'), 100)?.target).to.equal('t1');
    expect(made.place(request('r6'), 100)?.target).to.equal('t1');
  });

  /*
   * A long prompt would be late, or read by one engine for seconds, were remembered engines no help; and it would fail
   * with each of them that ended, were they to help several.
   */
  it('has remembered engines help one prompt each', () => {
    const made = fleet(0);
    for (let i = 0; i < 10; i++) made.observe({ ...target(i), isRemembered: true });
    const first = made.place(request('long1', LONG), 0);
    const second = made.place(request('long2', LONG), 0);
    const used = [first, second].flatMap((each) => {
      return each === undefined ? [] : [each.target, ...each.helpers.map(({ target: id }) => id)];
    });
    expect(first?.helpers.length).to.be.greaterThan(1);
    expect(new Set(used).size).to.equal(used.length);
  });

  /*
   * Entries lost a leader that answered nobody for half a second: for each of hundreds of prompts that came back
   * after a loss of all it asked 150 engines what they bear. Those in the caller's data centre are enough, as long as
   * they have room; then the others are asked too.
   */
  it('chooses among the near engines of a large fleet while they have room', () => {
    const made = fleet(0);
    for (let i = 0; i < 150; i++) {
      made.observe({ ...target(i), dataCentre: `dc${i % 5}` });
    }
    const places = Array.from({ length: 400 }, (_each, i) => {
      const placed = made.place(request(`r${i}`, { dataCentre: 'dc2' }), i);
      return Number(placed?.target.slice(1)) % 5;
    });
    const near = places.filter((dataCentre) => dataCentre === 2).length;
    expect(places.slice(0, 100).every((dataCentre) => dataCentre === 2)).to.equal(true);
    // 30 engines with 11 places, fewer while they read; what they don't bear goes elsewhere, and nobody is refused.
    expect(near).to.be.within(100, 330);
    expect(places.some(Number.isNaN)).to.equal(false);
  });
});

describe('a fleet of thousands of engines', () => {
  /*
   * Prompts waited seconds for a place although most engines were idle: the leader weighed each prompt on all 3,000 engines,
   * which takes it longer than the next prompt takes to come.
   */
  it('weighs a prompt on a bounded number of engines, and finds idle ones', () => {
    const made = fleet(3_000);
    const asked = new Set<load.Load>();
    const { get } = Object.getOwnPropertyDescriptor(load.Load.prototype, 'freeMemory') ?? {};
    Object.defineProperty(load.Load.prototype, 'freeMemory', {
      configurable: true,
      get(this: load.Load) {
        asked.add(this);
        return get?.call(this);
      },
    });
    const most: number[] = [];
    const waits: number[] = [];
    for (let i = 0; i < 100; i++) {
      asked.clear();
      const placed = made.place(request(`r${i}`, i % 10 === 0 ? LONG : {}), 0);
      most.push(asked.size);
      waits.push(placed?.firstTokenMs ?? Infinity);
    }
    Object.defineProperty(load.Load.prototype, 'freeMemory', { configurable: true, get });
    expect(Math.max(...most)).to.be.at.most(400);
    expect(Math.max(...waits.filter((_each, i) => i % 10 !== 0))).to.be.below(300);
    expect(Math.max(...waits)).to.be.below(3_000);
  });
});
