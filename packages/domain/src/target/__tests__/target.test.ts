/** Targets: announcements in any order, leases at keepers, planned stops. */
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as random from '../../shared/random';
import * as stop from '../../stop/stop';
import * as keeper from '../keeper';
import * as target from '../target';

const { expect } = chai;

function announced(
  incarnation: number,
  sequence: number,
  status: target.Status = 'serving',
  queuedTokens = 0,
): target.Target {
  return {
    name: 't',
    incarnation,
    sequence,
    kind: 'engine',
    address: 'a',
    dataCentre: 'dc',
    status,
    fencing: 'checked',
    service: '',
    models: [],
    memoryTokens: 1,
    load: { queuedTokens, streams: 0, freeTokens: 1 },
  };
}

const ANNOUNCED = fastCheck
  .tuple(fastCheck.integer({ min: 1, max: 3 }), fastCheck.integer({ min: 1, max: 5 }))
  .map(([incarnation, sequence]) => announced(incarnation, sequence));

describe('target', () => {
  /*
   * Guards against requests to a former lifetime of a restarted engine, caused by a delayed
   * announcement.
   */
  it('keeps the newest incarnation and sequence for any order of arrival', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(ANNOUNCED, { minLength: 1 }),
        fastCheck.integer(),
        (list, seed) => {
          const source = random.seeded(seed);
          const latest = [...list]
            .sort(() => source.uniform() - 0.5)
            .reduce<target.Target | undefined>(
              (current, each) => (target.isNewer(each, current) ? each : current),
              undefined,
            );
          const newest = [...list].sort(
            (a, b) => b.incarnation - a.incarnation || b.sequence - a.sequence,
          )[0];
          expect(latest).to.deep.equal(newest);
        },
      ),
      { seed: 5, numRuns: 500 },
    );
  });

  it('stays leaving within an incarnation, and returns from "gone"', () => {
    const newer = (a: target.Target, b: target.Target): boolean => target.isNewer(a, b);
    expect([
      newer(announced(1, 9), announced(1, 2, 'leaving')),
      newer(announced(2, 1), announced(1, 2, 'leaving')),
      newer(announced(1, 9), announced(1, 2, 'gone')),
      newer(announced(1, 2), announced(1, 2, 'gone')),
      newer(announced(1, 1, 'leaving'), announced(1, 5)),
    ]).to.deep.equal([false, true, true, false, true]);
  });
});

describe('keeper', () => {
  it('reports only significant changes, and "gone" once when the lease has expired', () => {
    const tested = new keeper.Keeper(1_000);
    const reported = [
      tested.announce(announced(1, 1), 0),
      tested.announce(announced(1, 2), 500),
      tested.announce({ ...announced(1, 3), memoryTokens: 2 }, 600),
      tested.renew('t', 1, 4, 650),
      tested.renew('t', 2, 5, 650),
      tested.announce(announced(1, 1), 700),
      tested.announce(announced(1, 5, 'leaving'), 800),
    ];
    const gone = [1_700, 1_900, 2_000].map((now) => tested.expire(now).map((t) => t.status));
    expect({ told: reported, gone }).toMatchSnapshot();
  });
});

describe('planned stop', () => {
  it('covers a target, a VM or a data centre, and is safe once no daemon runs requests there', () => {
    const newStop = (subject: stop.Subject, name: string): stop.Stop => {
      return { id: 's', subject, name, author: '', at: 0, graceSeconds: 1 };
    };
    const place = { target: 't', host: '10.0.0.1', dataCentre: 'dc' };
    const covered = [
      newStop('target', 't'),
      newStop('vm', '10.0.0.1'),
      newStop('dataCentre', 'dc'),
    ].map((each) => stop.covers(each, place));
    const progress = (running: number[]): stop.Progress =>
      stop.progress(
        newStop('target', 't'),
        ['a', 'b'],
        new Map(running.map((count, i) => [['a', 'b'][i], [{ stop: 's', running: count }]])),
      );
    expect({
      covered,
      other: stop.covers(newStop('target', 'u'), place),
      silent: progress([0]),
      running: progress([0, 1]),
      safe: progress([0, 0]),
    }).toMatchSnapshot();
  });
});
