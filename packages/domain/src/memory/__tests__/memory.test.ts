/**
 * Memory on engines: who may reclaim it, releases until confirmation, reservations on several
 * engines without deadlock.
 */
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as random from '../../shared/random';
import * as gathering from '../gathering';
import * as leasedResources from '../leasedResources';

const { expect } = chai;

describe('leased resources', () => {
  /*
   * Guards against memory that stays on the engines after its daemon died, and against reclaiming
   * resources of the older system, whose users would lose their streams.
   */
  it('are reclaimed only if they are ours and their owner is dead or restarted', () => {
    const owner = { daemon: 'd', incarnation: 5 };
    const listed = { id: 'h', kind: 'stream', owner, tokens: 1 } as const;
    const statuses: leasedResources.OwnerStatus[] = [
      { kind: 'dead' },
      { kind: 'unknown' },
      { kind: 'live', incarnation: 5 },
      { kind: 'live', incarnation: 6 },
    ];
    const findings = [leasedResources.SYSTEM, 'older'].map((system) => [
      system,
      ...statuses.map((status) => leasedResources.classify({ ...listed, system }, status)),
    ]);
    expect(findings).toMatchSnapshot();
  });

  it('repeat a release with increasing delays until it is confirmed', () => {
    const tested = new leasedResources.LeasedResources();
    tested.add('e', 1, 'h', 'stream');
    const times: number[] = [];
    tested.release('e', 'h', 0);
    for (let now = 0; now < 10_000; now += 50)
      if (tested.dueReleases(now).length > 0) times.push(now);
    tested.confirmRelease('e', 'h');
    expect([times, tested.dueReleases(20_000), tested.size]).to.deep.equal([
      [0, 400, 1_200, 2_800, 6_000],
      [],
      0,
    ]);
  });

  it('are dropped when their engine restarts', () => {
    const tested = new leasedResources.LeasedResources();
    tested.add('e', 1, 'old', 'stream');
    tested.add('e', 2, 'new', 'reservation');
    tested.targetRestarted('e', 2);
    expect(tested.renewable()).to.deep.equal([{ target: 'e', id: 'new' }]);
  });
});

describe('gathering', () => {
  interface Prompt {
    parts: gathering.MemoryPart[];
    reservedParts: number;
    done: boolean;
  }

  /*
   * Guards against a deadlock: two long prompts are sent through two daemons, and each daemon has
   * reserved the memory that the other waits for.
   */
  it('completes for all of several daemons in any interleaving', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.integer(), (seed) => {
        const source = random.seeded(seed);
        const free = new Map(['a', 'b', 'c'].map((name) => [name, 100]));
        const prompts: Prompt[] = Array.from({ length: 4 }, () => ({
          parts: ['a', 'b', 'c']
            .filter(() => source.uniform() < 0.8)
            .map((target) => ({ target, tokens: 30 + random.below(source, 71) })),
          reservedParts: 0,
          done: false,
        }));
        const releaseAll = (prompt: Prompt): void => {
          prompt.parts.slice(0, prompt.reservedParts).forEach(({ target, tokens }) => {
            free.set(target, (free.get(target) as number) + tokens);
          });
          prompt.reservedParts = 0;
        };
        for (let step = 0; step < 2_000 && prompts.some(({ done }) => !done); step++) {
          const prompt = random.pick(source, prompts);
          const part = prompt.parts[prompt.reservedParts];
          if (prompt.done) continue;
          if (part === undefined) {
            releaseAll(prompt);
            prompt.done = true;
          } else if ((free.get(part.target) as number) >= part.tokens) {
            free.set(part.target, (free.get(part.target) as number) - part.tokens);
            prompt.reservedParts += 1;
          } else releaseAll(prompt);
        }
        expect(prompts.every(({ done }) => done)).to.equal(true);
        expect([...free.values()]).to.deep.equal([100, 100, 100]);
      }),
      { seed: 12, numRuns: 300 },
    );
  });

  it('plans all parts in the order of names, or none', () => {
    const engine = (name: string, memoryTokens: number) =>
      ({ name, memoryTokens }) as Parameters<typeof gathering.plan>[1];
    const others = [engine('c', 400_000), engine('b', 400_000), engine('d', 400_000)];
    const plan = (tokens: number): unknown =>
      gathering.plan(tokens, engine('a', 400_000), others, (name) => (name === 'b' ? 0 : 100));
    expect([plan(300_000), plan(900_000), plan(2_000_000)]).toMatchSnapshot();
  });
});
