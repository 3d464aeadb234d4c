/** Engines that restart under their id, of which the allocator may receive only the later announcement. */
import * as chai from 'chai';
import * as allocator from '../allocator';
import * as fixture from './__fixtures__/engine';

const { expect } = chai;

const { SERVICE, request, target } = fixture;

const REBORN = { ...target(0), bornAt: 1, sequence: 0 };

describe('an engine that restarted under its id', () => {
  let placer: allocator.Allocator;

  const placedTargets = (count: number, more = {}): (string | undefined)[] => {
    return Array.from({ length: count }, (_, i) => {
      return placer.place(request(`${placer.size}-${i}`, more), 0)?.target;
    });
  };

  const fleet = (size: number): void => {
    placer = new allocator.Allocator();
    placer.setServices([SERVICE]);
    for (let i = 0; i < size; i++) placer.observe(target(i));
  };

  /** Guards against an idle engine that takes no requests: those of its former lifetime hold its slots and memory. */
  it('holds no load of its former lifetime', () => {
    fleet(1);
    const before = placedTargets(50).filter((each) => each !== undefined).length;
    placer.observe(REBORN);
    expect(placedTargets(50).filter((each) => each !== undefined).length).to.equal(before);
  });

  /** Guards against an engine without requests because its former lifetime failed. */
  it('is as healthy as any', () => {
    fleet(2);
    const [id] = placedTargets(1);
    expect(id).to.equal('t0');
    placer.endDispatch('0-0', 'unreachable', 0);
    expect(placedTargets(4)).not.to.include('t0');
    placer.observe(REBORN);
    expect(placedTargets(4)).to.include('t0');
  });

  /** Guards against a restarted engine that is taken for slow. */
  it('is as fast as any', () => {
    fleet(1);
    const firstTokenMs = (id: string): number | undefined => {
      const placement = placer.place(request(id), 0);
      placer.endDispatch(id, 'done', 0, { gapMs: 1e6 });
      return placement?.firstTokenMs;
    };
    const before = firstTokenMs('a');
    expect(firstTokenMs('b')).to.be.greaterThan(before ?? Infinity);
    placer.observe(REBORN);
    expect(firstTokenMs('c')).to.equal(before);
  });

  /** Guards against an engine that is kept for a suspect request which ended with its former lifetime. */
  it('is not reserved for a suspect of its former lifetime', () => {
    fleet(1);
    placer.observe({ ...target(1), state: 'draining' });
    placer.place(request('suspect', { endings: 2 }), 0);
    placer.observe({ ...target(1), bornAt: 1 });
    expect(placedTargets(8)).not.to.include('t0');
    placer.observe(REBORN);
    expect(placedTargets(8)).to.include('t0');
  });

  /** Guards against slots that requests of the former lifetime hold at a leader that was elected since. */
  it('holds no dispatch of its former lifetime that an entry reports to a new leader', () => {
    fleet(0);
    placer.observe(REBORN);
    placer.restore(request('old'), { id: 't0', bornAt: 0 }, 0);
    placer.restore(request('new'), { id: 't0', bornAt: 1 }, 0);
    placer.restore(request('of an earlier version'), { id: 't0' }, 0);
    expect(placer.size).to.equal(2);
  });
});
