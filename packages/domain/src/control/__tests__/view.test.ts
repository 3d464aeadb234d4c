/**
 * A follower's view against the state that it replicates: updated by deltas and by digests, never
 * reverted.
 */
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as hashing from '../../shared/hashing';
import * as state from '../state';
import * as view from '../view';

const { expect } = chai;

const COMMAND = fastCheck.record({
  kind: fastCheck.constantFrom(
    'change',
    'remove',
    'register',
    'unregister',
    'stop',
    'cancel',
    'note',
  ),
  name: fastCheck.constantFrom('a', 'b', 'c', 'd'),
});

function commandOf(kind: string, name: string, source: state.State, n: number): state.Command {
  const at = 0;
  if (kind === 'register') {
    return { kind, at, daemon: { id: name, address: `${n}`, dataCentre: 'dc', replica: '' } };
  }
  if (kind === 'unregister') return { kind, id: name, at, reason: '' };
  if (kind === 'stop') {
    const stop = { id: name, subject: 'vm', name, author: '', at, graceSeconds: 1 } as const;
    return { kind: 'announceStop', stop, address: '' };
  }
  if (kind === 'cancel') return { kind: 'cancelStop', id: name, author: '', address: '', at };
  if (kind === 'note') return { kind, action: '', subject: '', detail: '', at };
  const basedOn = source.tree.get(name)?.revision ?? n;
  const text = kind === 'remove' ? '' : `; ${n}`;
  const change = { id: `${n}`, subtree: name, basedOn, text, author: '', address: '', at };
  return { kind: 'change', change };
}

function contentOf(tested: view.View): unknown {
  return [[...tested.subtrees.keys()].sort(), [...tested.daemons].sort(), [...tested.stops].sort()];
}

describe('view', () => {
  it('equals the state after deltas, after a comparison of digests, and after adopting a state', async () => {
    const hash = await hashing.load();
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(COMMAND, { maxLength: 60 }),
        fastCheck.array(fastCheck.boolean(), { maxLength: 60 }),
        (commands, missed) => {
          let source = new state.State();
          const upstream = new view.View();
          const follower = new view.View();
          commands.forEach(({ kind, name }, i) => {
            const { delta } = source.apply(commandOf(kind, name, source, i), i + 1);
            upstream.advance(delta === undefined ? [] : [delta], i + 1);
            if (i % 7 === 6) source = state.State.restore(structuredClone(source.snapshot()));
            if (missed[i] === true) return;
            const deltas = upstream.since(follower.index) as state.Delta[];
            if (i % 3 > 0) follower.advance(deltas, upstream.index);
            else {
              const ownBuckets = follower.digest(hash).buckets;
              const differing = new Set(
                upstream
                  .digest(hash)
                  .buckets.flatMap((sum, b) => (sum === ownBuckets[b] ? [] : [b])),
              );
              const items = upstream.itemsIn(hash, differing);
              const kept = new Set(items.map(({ key }) => key));
              follower.replace(
                items,
                follower.keysMissingFrom(hash, differing, kept),
                upstream.index,
              );
            }
            expect(contentOf(follower)).to.deep.equal(contentOf(upstream));
            const adopted = new view.View();
            adopted.adopt(source);
            expect(contentOf(adopted)).to.deep.equal(contentOf(upstream));
          });
        },
      ),
      { seed: 8, numRuns: 500 },
    );
  });

  /*
   * Guards against a setting that reverts: a daemon that lagged behind served as upstream, and its
   * older update was applied.
   */
  it('ignores everything older than its own state', () => {
    const tested = new view.View();
    const delta = (index: number, text: string): state.Delta => {
      const subtree = { name: 'a', revision: index, text, author: '', at: 0, index };
      return { kind: 'subtree', index, name: 'a', subtree };
    };
    tested.advance([delta(5, 'new')], 5);
    const advanced = [
      tested.advance([delta(4, 'old')], 4),
      tested.replace([{ key: 'subtree/a', delta: delta(4, 'old') }], [], 5),
      tested.adopt(new state.State()),
      tested.advance([delta(4, 'old'), delta(6, 'newer')], 6),
    ];
    expect([advanced, tested.subtrees.get('a')?.text]).to.deep.equal([
      [false, false, false, true],
      'newer',
    ]);
  });
});
