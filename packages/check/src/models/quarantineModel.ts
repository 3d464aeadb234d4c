/**
 * Requests under which targets end, beside innocent ones that many callers send. Targets crash under culprits and, once, for
 * another reason; whatever they ran is blamed. Two promises: once all harm is over, innocent contents are served again within
 * the time in which a fleet must recover; and a culprit that goes on coming reaches few targets after its third.
 */
import * as domain from '@celerydrift/domain';
import type * as explorer from '../explorer';
import * as fingerprint from '../fingerprint';

type Quarantine = domain.quarantine.quarantine.Quarantine;

export type Event =
  /** Targets end at one moment while each runs these contents; `isCrash` where one of them is the cause. */
  | { kind: 'end'; contents: readonly string[]; isCrash: boolean; targets: number }
  /** An innocent request runs to its end. */
  | { kind: 'whole'; content: string }
  | { kind: 'wait'; ms: number };

export interface World {
  quarantine: Quarantine;
  now: number;
  /** Targets that ended. */
  ended: number;
  /** Ends that no content caused. */
  kills: number;
  /** When targets ended under each content. */
  arrivals: Map<string, number[]>;
  /** What each target that ended had run, by lifetime. */
  ran: Map<string, readonly string[]>;
  /**
   * Whether an innocent content was convicted while a culprit beside it had ended one target only as the only culprit there:
   * nothing tells that end from chance, and the innocent's three look like its own.
   */
  isMisled: boolean;
}

export interface Scope {
  culprits: number;
  innocents: number;
  /** Whether suspects run apart from each other, as under a leader. */
  isApart: boolean;
  /** What is checked. */
  make: () => Quarantine;
}

/** Waits that differ: until a quarantine explains ends for others, and until a doubtful one ends. */
const WAITS_MS = [600, 2_000] as const;

const MOST_KILLS = 1;

/** Targets that copies of one request end at one moment. */
const AT_ONE_MOMENT = [1, 2];

/** After the last harm all must be served again within so long, milliseconds. */
const RECOVER_MS = 8_000;

/** After the third end, and so long, at most so many further arrivals. */
const STABLE_MS = 3_000;
const MOST_LATER = 3;

/** How long culprits are watched, milliseconds; the shortest quarantine lasts longer than what follows a doubt. */
const WATCH_MS = 30_000;

const TICK_MS = 200;

/** Fields of a quarantine that hold a moment. */
const TIMES = new Set(['at', 'quarantinedAt']);

export function quarantineModel({
  culprits,
  innocents,
  isApart,
  make,
}: Scope): explorer.Model<World, Event> {
  const names = (prefix: string, count: number): string[] =>
    Array.from({ length: count }, (_each, i) => `4-${prefix}${i}`);
  const guilty = names('culprit', culprits);
  const innocent = names('innocent', innocents);

  /** Under a leader suspects run apart from each other, and one run of each at a time. */
  const mayRun = ({ quarantine }: World, contents: readonly string[], targets = 1): boolean => {
    const standings = contents.map((content) => quarantine.standing(content));
    const suspects = standings.filter((standing) => standing === 'suspected').length;
    const mostSuspects = targets === 1 ? 1 : 0;
    return !standings.includes('quarantined') && (!isApart || suspects <= mostSuspects);
  };

  /** An innocent content is asked for all the time; each run that it is allowed goes to its end. */
  const runInnocent = ({ quarantine }: World): void => {
    innocent
      .filter((content) => quarantine.standing(content) !== 'quarantined')
      .forEach((content) => quarantine.ranWhole(content));
  };

  const refusedInnocents = (world: World): string[] => {
    const until = world.now + RECOVER_MS;
    while (world.now < until) {
      pass(world, TICK_MS);
      runInnocent(world);
    }
    return innocent.filter((content) => world.quarantine.standing(content) === 'quarantined');
  };

  /** Each culprit comes again and again, alone; `areInnocentsAsked` also lets innocent requests run meanwhile. */
  const laterArrivals = (world: World, areInnocentsAsked: boolean): number => {
    const until = world.now + WATCH_MS;
    while (world.now < until) {
      guilty
        .filter((content) => mayRun(world, [content]))
        .forEach((content) => {
          end(world, { contents: [content], isCrash: true, targets: 1 });
        });
      pass(world, TICK_MS);
      if (areInnocentsAsked) runInnocent(world);
    }
    const later = guilty.map((content) => {
      const times = world.arrivals.get(content) ?? [];
      const third = times[2] ?? Infinity;
      return times.filter((at) => at > third + STABLE_MS).length;
    });
    return Math.max(0, ...later);
  };

  return {
    begin: () => ({
      quarantine: make(),
      now: 0,
      ended: 0,
      kills: 0,
      arrivals: new Map(),
      ran: new Map(),
      isMisled: false,
    }),

    events: (world) => {
      const crashes = subsets([...guilty, ...innocent])
        .filter((contents) => contents.some((content) => guilty.includes(content)))
        .flatMap((contents) => {
          return AT_ONE_MOMENT.map((targets): Event => {
            return { kind: 'end', contents, isCrash: true, targets };
          });
        });
      const kills = subsets(innocent).map((contents): Event => {
        return { kind: 'end', contents, isCrash: false, targets: 1 };
      });
      const ends = [...crashes, ...(world.kills < MOST_KILLS ? kills : [])];
      const wholes = innocent
        .filter((content) => world.quarantine.standing(content) === 'suspected')
        .map((content): Event => ({ kind: 'whole', content }));
      const waits = WAITS_MS.map((ms): Event => ({ kind: 'wait', ms }));
      const possible = ends.filter(
        (event) => event.kind === 'end' && mayRun(world, event.contents, event.targets),
      );
      return [...possible, ...wholes, ...waits];
    },

    play: (world, event) => {
      if (event.kind === 'wait') pass(world, event.ms);
      else if (event.kind === 'whole') world.quarantine.ranWhole(event.content);
      else {
        end(world, event);
        world.isMisled ||= innocent.some((content) => isMisledBy(world, content, guilty));
      }
    },

    fingerprint: ({ quarantine, now, kills, arrivals, isMisled }) => {
      const times = [...arrivals].map(([content, all]) => [content, all.map((at) => now - at)]);
      return JSON.stringify([
        fingerprint.fingerprintOf(quarantine, now, TIMES),
        kills,
        times,
        isMisled,
      ]);
    },

    problem: (replay) => {
      const refused = replay().isMisled ? [] : refusedInnocents(replay());
      if (refused.length > 0)
        return `${refused.join(', ')} refused ${RECOVER_MS} ms after all harm`;
      // Entries without a leader can't keep suspects apart, and aren't in touch.
      if (!isApart) return undefined;
      const later = Math.max(laterArrivals(replay(), true), laterArrivals(replay(), false));
      if (later <= MOST_LATER) return undefined;
      return `a culprit reached ${later} targets later than ${STABLE_MS} ms after its third`;
    },

    describe: (event) => {
      if (event.kind === 'wait') return `${event.ms} ms pass`;
      if (event.kind === 'whole') return `${event.content} runs to its end`;
      const cause = event.isCrash ? 'crashes' : 'loses its power';
      const who = event.targets === 1 ? 'a target' : `each of ${event.targets} targets`;
      return `${who} ${cause} while it runs ${event.contents.join(' and ')}`;
    },
  };
}

function pass(world: World, ms: number): void {
  world.now += ms;
  world.quarantine.tick(world.now);
}

type Ends = Omit<Event & { kind: 'end' }, 'kind'>;

function end(world: World, { contents, isCrash, targets }: Ends): void {
  const { quarantine, now, ran, arrivals } = world;
  if (!isCrash) world.kills += 1;
  const runs = contents.map((content) => {
    return { content, isTrial: quarantine.standing(content) === 'suspected' };
  });
  for (let i = 0; i < targets; i++) {
    const target = { id: `t${world.ended}`, bornAt: 1 };
    const lifetime = domain.quarantine.endedLifetimes.lifetimeOf(target);
    world.ended += 1;
    ran.set(lifetime, contents);
    runs.forEach(({ content, isTrial }) => {
      quarantine.blame(content, lifetime, { sentAt: now, isTrial }, now);
      arrivals.set(content, [...(arrivals.get(content) ?? []), now]);
    });
  }
}

/** Whether an innocent content is convicted with an end of a culprit that ended no other target as the only culprit there. */
function isMisledBy(
  { quarantine, ran }: World,
  innocent: string,
  guilty: readonly string[],
): boolean {
  if (quarantine.standing(innocent) !== 'quarantined') return false;
  const beside = quarantine.endings(innocent).flatMap((lifetime) => ran.get(lifetime) ?? []);
  const own = [...ran.values()].map((contents) => contents.filter((each) => guilty.includes(each)));
  return guilty.some((culprit) => {
    const alone = own.filter((culprits) => culprits.length === 1 && culprits[0] === culprit);
    return beside.includes(culprit) && alone.length <= 1;
  });
}

/** All subsets but the empty one. */
function subsets<T>(of: readonly T[]): T[][] {
  return of
    .reduce<T[][]>((all, each) => [...all, ...all.map((some) => [...some, each])], [[]])
    .slice(1);
}
