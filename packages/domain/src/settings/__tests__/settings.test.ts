/** The settings tree against a simple sequential store, and the errors for invalid files. */
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as document from '../document';
import * as schema from '../schema';
import * as tree from '../tree';

const { expect } = chai;

const KEY = `sha256:${'a'.repeat(64)}`;

const GOOD = `[organisation.kisumu]
key = ${KEY}
share = 2
[model.quotes]
base = base
organisations = kisumu
[service.parts]
not-repeatable = POST /holds
[operator.amina]
token = ${KEY}
`;

function change(id: string, basedOn: number, text: string, subtree = 'team'): tree.Change {
  return { id, subtree, basedOn, text, author: 'a', address: '', at: 0 };
}

const STEP = fastCheck.record({
  subtree: fastCheck.constantFrom('fitters', 'pits'),
  basedOn: fastCheck.integer({ min: 0, max: 6 }),
  id: fastCheck.integer({ min: 0, max: 25 }),
  variant: fastCheck.integer({ min: 0, max: 2 }),
  restore: fastCheck.boolean(),
});

describe('settings tree', () => {
  it('decides like a simple sequential store, also across snapshots', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(STEP, { maxLength: 50 }), (steps) => {
        let tested = new tree.Tree();
        const revisions = new Map<string, number>();
        const answers = new Map<string, { content: string; kind: string }>();
        steps.forEach(({ subtree, basedOn, id, variant, restore }, index) => {
          const text = variant === 0 ? '' : `${GOOD}; ${variant}`;
          const request = change(`id${id}`, basedOn, text, subtree);
          const content = JSON.stringify([subtree, basedOn, text]);
          const earlier = answers.get(request.id);
          const revision = revisions.get(subtree) ?? 0;
          const decision = basedOn === revision ? 'accepted' : 'conflict';
          const replayed = earlier?.content === content ? earlier.kind : 'reused';
          const expected = earlier === undefined ? decision : replayed;
          if (restore) tested = tree.Tree.restore(structuredClone(tested.snapshot()));
          expect(tested.apply(request, index + 1).answer.kind).to.equal(expected);
          if (earlier !== undefined) return;
          answers.set(request.id, { content, kind: decision });
          if (decision === 'accepted') revisions.set(subtree, revision + 1);
        });
      }),
      { seed: 5, numRuns: 1_000 },
    );
  });

  /*
   * Guards against lost updates: two operators send changes based on revision 1. One is accepted
   * and the other gets the accepted text. A resend of the accepted change, whose answer was lost,
   * gets the first answer.
   */
  it('accepts one of two concurrent changes and returns the accepted text to the other', () => {
    const tested = new tree.Tree();
    tested.apply(change('one', 0, GOOD), 1);
    expect({
      winner: tested.apply(change('two', 1, `${GOOD}; two`), 2).answer.kind,
      loser: tested.apply(change('three', 1, `${GOOD}; three`), 3).answer,
      resend: tested.apply(change('two', 1, `${GOOD}; two`), 4).answer,
      reused: tested.apply(change('two', 2, GOOD), 5).answer,
    }).toMatchSnapshot();
  });

  it('reports section, key, value and fix of every problem in a file', () => {
    const bad = {
      unknownSection: '[organisations.a]\nkey = x',
      unknownKey: `[organisation.a]\nkey = ${KEY}\nshares = 2`,
      missing: '[organisation.a]\nshare = 2',
      badValue: `[organisation.a]\nkey = ${KEY}\nshare = much\npriority = top`,
      plainKey: '[organisation.a]\nkey = secret',
      dangling: '[model.m]\nbase = b\norganisations = nobody',
      badCall: '[service.s]\nnot-repeatable = holds',
      noName: '[model]\nbase = b',
    };
    const problems = Object.entries(bad).map(([name, text]): [string, unknown] => {
      const read = document.parse(text);
      return [name, read.ok ? 'accepted' : read.val.map(schema.describe)];
    });
    expect(Object.fromEntries(problems)).toMatchSnapshot();
  });

  it('parses any text without throwing', () => {
    const line = fastCheck.oneof(
      fastCheck.string(),
      fastCheck.constantFrom('[model.a]', '[__proto__]', '[organisation.constructor]', 'a[] = 1'),
    );
    fastCheck.assert(
      fastCheck.property(fastCheck.array(line), (lines) => {
        document.parse(lines.join('\n'));
      }),
      { seed: 3, numRuns: 2_000 },
    );
  });
});
