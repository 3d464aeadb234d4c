/** The checks of messages between VMs: what they let through can be applied. */
import * as chai from 'chai';
import * as random from '@celerydrift/domain/dist/shared/random';
import { Err } from 'ts-results';
import type * as protocols from '../../edges/protocols';
import * as observer from '../../observability/observer';
import * as fleetState from '../fleetState';
import type * as messages from '../messages';
import * as messageShapes from '../messageShapes';

const { expect } = chai;

const ENDPOINT = { service: 's', address: '10.0.0.1:80' };

const UPDATE: messages.FleetUpdate = {
  records: [
    { ...ENDPOINT, id: 't', bornAt: 1, dataCentre: 'd', slots: 2, state: 'ready', sequence: 1 },
  ],
  mark: { epoch: 'e', change: 2 },
  since: { epoch: 'e', change: 1 },
  edition: { version: 3, packed: new Uint8Array([1]) },
  evacuations: {
    revision: 1,
    evacuations: [{ dataCentre: 'd', startedAt: 1, requestedBy: 'o' }],
  },
  suspects: [
    {
      content: 'c',
      endings: [{ lifetime: 't', agoMs: 1, isTrial: false }],
      quarantines: 0,
      quarantinedForMs: undefined,
    },
  ],
  limits: [{ ...ENDPOINT, perSecond: 3 }],
};

const ODD_VALUES: readonly unknown[] = [
  ...[null, undefined, true, -1, 0, NaN, Infinity, 1e308, '', '__proto__', [], {}, [null]],
  ...[JSON.parse('{"__proto__": {"kind": "redirect"}}'), { toString: null }, new Uint8Array(1)],
];

/** A copy with one value replaced or missing, at any depth. */
function mutated(value: unknown, next: random.Random): unknown {
  const isLeaf = typeof value !== 'object' || value === null || value instanceof Uint8Array;
  if (isLeaf || next.uniform() < 0.1) return random.pick(next, ODD_VALUES);
  const entries = Object.entries(value);
  if (entries.length === 0) return random.pick(next, ODD_VALUES);
  const at = random.below(next, entries.length);
  const [key, member] = entries[at];
  const replacement = next.uniform() < 0.2 ? [] : [[key, mutated(member, next)] as const];
  const changed = [...entries.slice(0, at), ...replacement, ...entries.slice(at + 1)];
  return Array.isArray(value) ? changed.map(([, each]) => each) : Object.fromEntries(changed);
}

describe('messages between VMs', () => {
  // Guards against an update that passes its check and then ends the process, or is applied by half.
  it('can be applied if they pass the check, whatever they contain', () => {
    const next = random.seeded(7);
    const shape = messageShapes.SHAPES.requests.get('learn');
    let applied = 0;
    for (let i = 0; i < 3_000; i++) {
      const update = mutated(next.uniform() < 0.5 ? UPDATE : mutated(UPDATE, next), next);
      if (shape?.is(update) === true) {
        const state = new fleetState.FleetState({
          protocol: {
            parseCatalogue: () => Err({ kind: 'unreadable', detail: 'a' }),
          } as unknown as protocols.ControlProtocol,
          observer: new observer.Observer('test', 'fatal', undefined),
          now: () => 0,
          onCatalogue: () => undefined,
          onRecord: () => undefined,
        });
        expect(() => state.applyUpdate(update as messages.FleetUpdate)).to.not.throw();
        applied += 1;
      }
    }
    expect(applied).to.be.within(100, 2_000);
    expect(shape?.is(UPDATE)).to.equal(true);
  });
});
