/**
 * Tests of the dispatcher: no request is lost or sent twice, fairness, reserve, estimates, prefix
 * index, cells.
 */
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as hashing from '../../shared/hashing';
import * as random from '../../shared/random';
import * as target from '../../target/target';
import * as band from '../band';
import * as cell from '../cell';
import * as dispatcher from '../dispatcher';
import * as fairQueue from '../fairQueue';
import * as policy from '../policy';
import * as prefixIndex from '../prefixIndex';

const { expect } = chai;

const MODEL: target.Loaded = { base: 'b', adapter: '', version: '1' };

function engine(name: string, models: target.Loaded[] = [MODEL]): target.Target {
  return {
    name,
    incarnation: 1,
    sequence: 1,
    kind: 'engine',
    address: name,
    dataCentre: 'dc',
    status: 'serving',
    fencing: 'checked',
    service: '',
    models,
    memoryTokens: 400_000,
    load: { queuedTokens: 0, streams: 0, freeTokens: 400_000 },
  };
}

function request(id: string, promptTokens: number, at = 0): dispatcher.Request {
  return {
    id,
    organisation: 'o',
    share: 1,
    priority: 'normal',
    model: MODEL,
    promptTokens,
    answerTokens: 100,
    prefixKeys: [],
    enqueuedAt: at,
    deadline: at + 60_000,
    excluded: new Set(),
  };
}

describe('dispatcher', () => {
  let hash: hashing.Hash;

  before(async () => {
    hash = await hashing.load();
  });

  const STEP = fastCheck.record({
    kind: fastCheck.constantFrom('new', 'first', 'end', 'refuse', 'open', 'close', 'withdraw'),
    which: fastCheck.nat({ max: 30 }),
    tokens: fastCheck.constantFrom(1_000, 6_000, 30_000, 200_000, 900_000),
  });

  it('sends each request to one target with a closed circuit at a time, and loses none', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(STEP, { maxLength: 80 }), (steps) => {
        const placementPolicy = new policy.ElasticReserve(random.seeded(1));
        const tested = new dispatcher.Dispatcher('dc', hash, placementPolicy);
        const names = ['e1', 'e2', 'e3', 'e4', 'e5'];
        tested.setTargets(names.map((name) => engine(name)));
        // The model: where each request is.
        const waiting = new Set<string>();
        const running = new Map<string, string>();
        const openCircuits = new Set<string>();
        let now = 0;
        let requestCount = 0;
        steps.forEach(({ kind, which, tokens }) => {
          now += 20;
          const [id, targetName] = [...running][which % Math.max(1, running.size)] ?? ['', ''];
          const name = names[which % names.length];
          if (kind === 'new') {
            requestCount += 1;
            if (tested.enqueue(request(`r${requestCount}`, tokens, now), now) === undefined) {
              waiting.add(`r${requestCount}`);
            }
          } else if (kind === 'first') tested.firstToken(id, now);
          else if (kind === 'end') {
            tested.ended(id, now);
            running.delete(id);
          } else if (kind === 'refuse' && id !== '') {
            const report = { queuedTokens: 0, streams: 0, freeTokens: 0, measuredAt: now };
            tested.refused(id, report, now);
            running.delete(id);
            waiting.add(id);
          } else if (kind === 'open' || kind === 'close') {
            tested.setCircuitOpen(name, kind === 'open');
            if (kind === 'open') openCircuits.add(name);
            else openCircuits.delete(name);
          } else if (kind === 'withdraw') {
            const first = [...waiting][0] ?? '';
            expect(tested.withdraw(first)).to.equal(waiting.delete(first));
          }
          tested.poll(now).forEach((dispatch) => {
            expect(waiting.delete(dispatch.request.id)).to.equal(true);
            expect(openCircuits.has(dispatch.target.name)).to.equal(false);
            running.set(dispatch.request.id, dispatch.target.name);
          });
          expect(tested.queueLength).to.equal(waiting.size);
          names.forEach((each) => {
            const expected = [...running].filter(([, at]) => at === each).map(([one]) => one);
            expect(tested.runningOn(each).sort()).to.deep.equal(expected.sort());
          });
          expect(targetName).to.be.a('string');
        });
      }),
      { seed: 9, numRuns: 300 },
    );
  });

  /*
   * Guards against short requests that wait behind long prompts because every engine has one in
   * progress. The reserve keeps some engines free.
   */
  it('keeps a reserve free of long prompts while there is short demand', () => {
    const placementPolicy = new policy.ElasticReserve(random.seeded(2));
    const tested = new dispatcher.Dispatcher('dc', hash, placementPolicy);
    tested.setTargets(Array.from({ length: 10 }, (_v, i) => engine(`e${i}`)));
    const targetsByBand = new Map<string, Set<string>>();
    for (let i = 0; i < 400; i++) {
      const long = i % 4 === 0;
      tested.enqueue(request(`r${i}`, long ? 200_000 : 2_000, i * 50), i * 50);
      tested.poll(i * 50).forEach(({ request: sent, target: { name }, band: inBand }) => {
        if (i < 100) return;
        targetsByBand.set(inBand, (targetsByBand.get(inBand) ?? new Set()).add(name));
        if (inBand === 'short') tested.firstToken(sent.id, i * 50 + 20);
      });
    }
    const withLong = targetsByBand.get('long') ?? new Set();
    const withoutLong = [...(targetsByBand.get('short') ?? [])].filter(
      (name) => !withLong.has(name),
    );
    expect(withoutLong.length).to.be.at.least(1);
  });

  it('refuses as certainly not run what it can never serve', () => {
    const placementPolicy = new policy.RoundRobin();
    const tested = new dispatcher.Dispatcher('dc', hash, placementPolicy, {
      ...dispatcher.DEFAULT_OPTIONS,
      queueLength: 1,
    });
    const noTarget = tested.enqueue(request('a', 1_000), 0);
    tested.setTargets([engine('e', [{ ...MODEL, version: '2' }])]);
    const otherVersion = tested.enqueue(request('b', 1_000), 0);
    tested.setTargets([engine('e')]);
    const late = tested.enqueue({ ...request('c', 300_000), deadline: 50 }, 0);
    const taken = tested.enqueue(request('d', 1_000), 0);
    const full = tested.enqueue(request('e', 1_000), 0);
    const expired = tested.expire(70_000).map(({ id }) => id);
    expect({ noTarget, otherVersion, late, taken, full, expired }).toMatchSnapshot();
  });
});

describe('fair queue', () => {
  it('shares tokens by weight between organisations that always wait', () => {
    const tested = new fairQueue.FairQueue(1e9);
    const served = { small: 0, large: 0 };
    for (let i = 0; i < 400; i++) {
      const item = { priority: 'normal', tokens: 1_000, enqueuedAt: 0 } as const;
      tested.push({ ...item, id: `s${i}`, organisation: 'small', share: 1 });
      tested.push({ ...item, id: `l${i}`, organisation: 'large', share: 3 });
    }
    for (let i = 0; i < 400; i++) {
      const next = tested.peek(0) as fairQueue.Item;
      tested.remove(next.id);
      served[next.organisation as 'small' | 'large'] += 1;
    }
    expect(served).to.deep.equal({ small: 100, large: 300 });
  });

  /** Guards against starvation of low priority: after a while it ranks with the others. */
  it('lets low priority pass after ageing', () => {
    const tested = new fairQueue.FairQueue(1_000);
    const item = { organisation: 'o', share: 1, tokens: 1 };
    tested.push({ ...item, id: 'low', priority: 'low', enqueuedAt: 0 });
    tested.push({ ...item, id: 'high', priority: 'high', enqueuedAt: 1_500 });
    const order = [500, 2_500].map((now) => tested.peek(now)?.id);
    expect(order).to.deep.equal(['high', 'low']);
  });
});

describe('reserve', () => {
  it('grows with short demand and spare targets, and shrinks while others wait', () => {
    const size = (short: number, medium: number, long: number, wait: boolean): number =>
      band.reserveSize(20, { short, medium, long }, wait, undefined, band.DEFAULT_PLAN);
    expect({
      onlyShort: size(2, 0, 0, false),
      idle: size(2, 1, 1, false),
      usual: size(3, 5, 7, false),
      othersWait: size(2, 1, 1, true),
      overload: size(10, 10, 10, true),
    }).toMatchSnapshot();
  });
});

describe('prefix index', () => {
  /*
   * Guards against sending prompts to an engine that evicted their prefixes long ago, as cache
   * events were lost.
   */
  it('distrusts a target after a gap until a listing', () => {
    const tested = new prefixIndex.PrefixIndex();
    const stored = (sequence: number, key: number): prefixIndex.EventOrder =>
      tested.applyEvent('e', { sequence, kind: 'stored', key });
    const cached = (): number => tested.cachedTokens('e', [1, 2, 3]);
    const results: unknown[] = [stored(1, 1), stored(2, 2), cached(), stored(4, 3), cached()];
    results.push(stored(4, 9));
    tested.resync('e', [1], 5);
    results.push(cached());
    tested.forget('e');
    results.push(cached());
    expect(results).to.deep.equal(['inOrder', 'inOrder', 2_048, 'gap', 1_536, 'old', 1_024, 0]);
  });
});

describe('cells', () => {
  const members = (count: number, prefix: string): cell.Member[] =>
    Array.from({ length: count }, (_v, i) => ({ id: `${prefix}${i}`, dataCentre: `dc${i % 17}` }));

  it('are one for a small fleet, and all daemons name the same allocator', async () => {
    const hash = await hashing.load();
    const daemons = members(8, 'd');
    const targets = members(25, 't');
    const cells = daemons.map((self) => cell.cellOf(hash, self, daemons, targets));
    expect(new Set(cells.map(({ allocator }) => allocator)).size).to.equal(1);
    expect(cells.every((each) => each.targets.length === 25)).to.equal(true);
  });

  it('stay within a data centre and bounded in a fleet of 810 daemons and 2,400 targets', async () => {
    const hash = await hashing.load();
    const daemons = members(810, 'd');
    const targets = members(2_400, 't');
    const cells = daemons.map((self) => cell.cellOf(hash, self, daemons, targets));
    const used = new Set(cells.flatMap((each) => each.targets));
    const allocators = new Set(cells.map(({ allocator }) => allocator));
    const largest = Math.max(...cells.map((each) => each.targets.length));
    expect([largest <= cell.CELL_TARGETS * 2, used.size, allocators.size]).toMatchSnapshot();
  });
});
