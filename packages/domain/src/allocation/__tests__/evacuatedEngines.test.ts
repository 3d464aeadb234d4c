/** Tests of the placement of prompts while data centres are evacuated. */
import * as chai from 'chai';
import * as allocator from '../allocator';
import * as fixture from './__fixtures__/engine';

const { expect } = chai;

const { LONG, SERVICE, request, target } = fixture;

describe('engines of evacuated data centres', () => {
  let placer: allocator.Allocator;
  let evacuated: string[];

  /** Announces engines, every second one of them in `west`. */
  function setUp(size: number): void {
    evacuated = [];
    placer = new allocator.Allocator();
    placer.setServices([SERVICE]);
    placer.setEvacuated((dataCentre) => evacuated.includes(dataCentre));
    for (let i = 0; i < size; i++) {
      placer.observe({ ...target(i), dataCentre: i % 2 === 0 ? 'east' : 'west' });
    }
  }

  /** The data centres of all engines that got a part of the prompt. */
  function place(id: string, more: Partial<allocator.Request> = {}): string[] {
    const placed = placer.place(request(id, more), 0);
    const ids = placed === undefined ? [] : [placed, ...placed.helpers].map((each) => each.target);
    return [...new Set(ids.map((each) => (Number(each.slice(1)) % 2 === 0 ? 'east' : 'west')))];
  }

  /** Guards against new work on them, as a decoder, a helper or a target that the prompt is bound to. */
  it('are no candidates, and are candidates again after the evacuation', () => {
    setUp(16);
    evacuated = ['east'];
    const results = [
      place('short'),
      place('long', LONG),
      place('bound', { writers: ['t0', 't1'] }),
      placer.choose(request('lost', { writers: ['t0'] }), 0, true).kind,
    ];
    expect(results).to.deep.equal([['west'], ['west'], ['west'], 'evacuated']);
    evacuated = [];
    expect(place('later', { writers: ['t0'] })).to.deep.equal(['east']);
  });

  /** Guards against a large fleet that considers only a cell of the evacuated data centre. */
  it('are no candidates in a fleet that is divided into cells', () => {
    setUp(600);
    evacuated = ['east'];
    expect(place('short')).to.deep.equal(['west']);
    evacuated = ['east', 'west'];
    expect(placer.choose(request('none'), 0, true).kind).to.equal('evacuated');
  });

  /** Guards against forecasts and averages that count idle engines which nothing may be sent to. */
  it('do not count in forecasts and averages, but their running dispatches are kept', () => {
    setUp(2);
    place('east', { writers: ['t0'] });
    place('west', { ...LONG, tokens: 100_000, writers: ['t1'] });
    const figures = (): unknown[] => [
      Math.round(placer.nextAvailableMs(SERVICE.name, 0)),
      placer.averageLoadByService(),
      placer.size,
    ];
    const before = figures();
    evacuated = ['east'];
    const oneLeft = figures();
    evacuated = ['east', 'west'];
    expect({ before, oneLeft, noneLeft: figures() }).toMatchSnapshot();
    evacuated = [];
    expect(figures()).to.deep.equal(before);
  });

  /** Guards against requests that wait in vain, and against refusals where a slot will become free. */
  it('are the reason for a refusal only where no other engine is left', () => {
    setUp(2);
    const kindOf = (more: Partial<allocator.Request> = {}): string => {
      return placer.choose(request('x', { tokens: 400_000, ...more }), 0, false).kind;
    };
    evacuated = ['east'];
    const kinds = [kindOf(), kindOf({ excluded: ['t0'] }), kindOf({ excluded: ['t0', 't1'] })];
    expect(kinds).to.deep.equal(['full', 'full', 'evacuated']);
    placer.observe({ ...target(0), state: 'draining' });
    expect(kindOf({ excluded: ['t1'] })).to.equal('full');
  });
});
