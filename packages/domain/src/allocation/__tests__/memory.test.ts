/** The memory of engines while prompts of all sizes are placed and end, and engines restart. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as allocator from '../allocator';
import * as fixture from './__fixtures__/engine';

const { expect } = chai;

const { ENGINE, SERVICE, request, target } = fixture;

const ENGINES = 3;

type Step =
  | { kind: 'place'; tokens: number; answerTokens: number }
  | { kind: 'end'; index: number }
  | { kind: 'restart'; index: number };

const TOKENS = fc.oneof(
  fc.nat(20_000),
  fc.nat(2 * ENGINE.memoryTokens),
  fc.double({ min: 0, max: 1e300, noNaN: true }),
);

const STEPS: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({ kind: fc.constant('place'), tokens: TOKENS, answerTokens: TOKENS }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('end'), index: fc.nat(99) }) },
    {
      weight: 1,
      arbitrary: fc.record({ kind: fc.constant('restart'), index: fc.nat(ENGINES - 1) }),
    },
  ),
  { minLength: 10, maxLength: 60 },
);

/** Tokens that a request holds on each of its engines. */
function tokensOf(
  { target: decoder, helpers }: allocator.Placement,
  wholeTokens: number,
): Map<string, number> {
  const kept = new Map(helpers.map((each) => [each.target, each.keptTokens]));
  const ofHelpers = helpers.reduce((sum, { keptTokens }) => sum + keptTokens, 0);
  return kept.set(decoder, wholeTokens - ofHelpers);
}

describe('memory of engines', () => {
  /**
   * Guards against engines that refuse requests, or end running ones, because more was placed on
   * them than their memory holds.
   */
  it('is never exceeded by the requests placed on them', () => {
    fc.assert(
      fc.property(STEPS, (steps) => {
        const placer = new allocator.Allocator();
        placer.setServices([SERVICE]);
        for (let i = 0; i < ENGINES; i++) placer.observe(target(i));
        const held = new Map<string, Map<string, number>>();
        steps.forEach((step, now) => {
          if (step.kind === 'place') {
            const { tokens, answerTokens } = step;
            const long = { objectiveMs: 30_000, pauseMs: 10_000 };
            const more = { tokens, answerTokens, ...long };
            const placement = placer.place(request(`${now}`, more), now);
            if (placement !== undefined) {
              held.set(`${now}`, tokensOf(placement, tokens + answerTokens));
            }
          } else if (step.kind === 'end') {
            const id = [...held.keys()][step.index % Math.max(1, held.size)];
            placer.endDispatch(id, 'done', now);
            held.delete(id);
          } else {
            placer.observe({ ...target(step.index), bornAt: now + 1 });
            held.forEach((each) => each.delete(`t${step.index}`));
          }
          for (let i = 0; i < ENGINES; i++) {
            const used = [...held.values()].reduce(
              (sum, each) => sum + (each.get(`t${i}`) ?? 0),
              0,
            );
            expect(used).to.be.at.most(ENGINE.memoryTokens);
          }
        });
      }),
      { numRuns: 500, seed: 1 },
    );
  });
});
