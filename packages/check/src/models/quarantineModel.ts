/**
 * Models the quarantine with culprits, which are requests that crash their target, and innocent requests that many
 * callers send. Targets crash while running culprits and, once, for another reason; everything that they ran is
 * reported. Checks two properties: innocent requests are served again within the recovery time after the last crash,
 * and a culprit that keeps arriving reaches few targets after its third crash. A content identifies requests that are
 * alike (their fingerprint).
 */
import * as domain from '@celerydrift/domain';
import type * as explorer from '../explorer';
import * as fingerprint from '../fingerprint';

type Quarantine = domain.quarantine.quarantine.Quarantine;

export type Event =
  /** Targets terminate at the same time while each runs these contents; `isCrash` if one of them is the cause. */
  | { kind: 'terminate'; contents: readonly string[]; isCrash: boolean; targets: number }
  /** An innocent request completes. */
  | { kind: 'complete'; content: string }
  | { kind: 'wait'; ms: number };

export interface State {
  quarantine: Quarantine;
  now: number;
  /** Number of targets that terminated. */
  crashedTargets: number;
  /** Number of terminations that no content caused. */
  powerLosses: number;
  /** When targets terminated while running each content. */
  arrivals: Map<string, number[]>;
  /** Contents that each terminated target was running, by lifetime. */
  ran: Map<string, readonly string[]>;
  /**
   * Whether an innocent content was quarantined although a culprit ran beside it that crashed at most one target as
   * the only culprit there. That crash can't be told from chance, and the innocent content's three crashes look like
   * its own.
   */
  isAmbiguous: boolean;
}

export interface Scope {
  culprits: number;
  innocents: number;
  /** Whether suspects run on separate targets, as a leader ensures. */
  areSuspectsIsolated: boolean;
  /** Creates the implementation under test. */
  newQuarantine: () => Quarantine;
}

/** Long enough for a quarantine to explain crashes of other contents, and for a doubtful quarantine to end. */
const WAITS_MS = [600, 2_000] as const;

const MAX_POWER_LOSSES = 1;

/** Number of targets that copies of one request terminate at the same time. */
const SIMULTANEOUS_CRASHES = [1, 2];

/** All innocent requests must be served again this long after the last event. */
const RECOVERY_MS = 8_000;

/** From this long after its third crash on, a culprit may reach at most this many further targets. */
const SETTLING_MS = 3_000;
const MAX_LATER_ARRIVALS = 3;

/**
 * How long culprits are observed. Covers what follows a doubtful quarantine; the shortest full quarantine is longer.
 */
const OBSERVATION_MS = 30_000;

const TICK_MS = 200;

/** Fields of a quarantine that contain a time. */
const TIME_FIELDS = new Set(['at', 'quarantinedAt']);

export function quarantineModel({
  culprits,
  innocents,
  areSuspectsIsolated,
  newQuarantine,
}: Scope): explorer.Model<State, Event> {
  const names = (prefix: string, count: number): string[] =>
    Array.from({ length: count }, (_each, i) => `4-${prefix}${i}`);
  const culpritContents = names('culprit', culprits);
  const innocentContents = names('innocent', innocents);

  /** Under a leader, suspects run on separate targets and one run of each at a time. */
  const mayRun = ({ quarantine }: State, contents: readonly string[], targets = 1): boolean => {
    const statuses = contents.map((content) => quarantine.standing(content));
    const suspects = statuses.filter((standing) => standing === 'suspected').length;
    const maxSuspects = targets === 1 ? 1 : 0;
    return !statuses.includes('quarantined') && (!areSuspectsIsolated || suspects <= maxSuspects);
  };

  /** Innocent contents are requested all the time; each run that the quarantine permits completes. */
  const runInnocents = ({ quarantine }: State): void => {
    innocentContents
      .filter((content) => quarantine.standing(content) !== 'quarantined')
      .forEach((content) => quarantine.completed(content));
  };

  const quarantinedInnocents = (state: State): string[] => {
    const until = state.now + RECOVERY_MS;
    while (state.now < until) {
      advanceTime(state, TICK_MS);
      runInnocents(state);
    }
    return innocentContents.filter(
      (content) => state.quarantine.standing(content) === 'quarantined',
    );
  };

  /** Each culprit is requested repeatedly, alone; with `doInnocentsRun`, innocent requests complete in between. */
  const laterArrivals = (state: State, doInnocentsRun: boolean): number => {
    const until = state.now + OBSERVATION_MS;
    while (state.now < until) {
      culpritContents
        .filter((content) => mayRun(state, [content]))
        .forEach((content) => {
          terminateTargets(state, { contents: [content], isCrash: true, targets: 1 });
        });
      advanceTime(state, TICK_MS);
      if (doInnocentsRun) runInnocents(state);
    }
    const later = culpritContents.map((content) => {
      const times = state.arrivals.get(content) ?? [];
      const third = times[2] ?? Infinity;
      return times.filter((at) => at > third + SETTLING_MS).length;
    });
    return Math.max(0, ...later);
  };

  return {
    initialState: () => ({
      quarantine: newQuarantine(),
      now: 0,
      crashedTargets: 0,
      powerLosses: 0,
      arrivals: new Map(),
      ran: new Map(),
      isAmbiguous: false,
    }),

    enabledEvents: (state) => {
      const crashes = subsets([...culpritContents, ...innocentContents])
        .filter((contents) => contents.some((content) => culpritContents.includes(content)))
        .flatMap((contents) => {
          return SIMULTANEOUS_CRASHES.map((targets): Event => {
            return { kind: 'terminate', contents, isCrash: true, targets };
          });
        });
      const powerLosses = subsets(innocentContents).map((contents): Event => {
        return { kind: 'terminate', contents, isCrash: false, targets: 1 };
      });
      const terminations = [
        ...crashes,
        ...(state.powerLosses < MAX_POWER_LOSSES ? powerLosses : []),
      ];
      const completions = innocentContents
        .filter((content) => state.quarantine.standing(content) === 'suspected')
        .map((content): Event => ({ kind: 'complete', content }));
      const waits = WAITS_MS.map((ms): Event => ({ kind: 'wait', ms }));
      const permitted = terminations.filter(
        (event) => event.kind === 'terminate' && mayRun(state, event.contents, event.targets),
      );
      return [...permitted, ...completions, ...waits];
    },

    apply: (state, event) => {
      if (event.kind === 'wait') advanceTime(state, event.ms);
      else if (event.kind === 'complete') state.quarantine.completed(event.content);
      else {
        terminateTargets(state, event);
        state.isAmbiguous ||= innocentContents.some((content) =>
          isAmbiguousFor(state, content, culpritContents),
        );
      }
    },

    fingerprint: ({ quarantine, now, powerLosses, arrivals, isAmbiguous }) => {
      const times = [...arrivals].map(([content, all]) => [content, all.map((at) => now - at)]);
      return JSON.stringify([
        fingerprint.fingerprintOf(quarantine, now, TIME_FIELDS),
        powerLosses,
        times,
        isAmbiguous,
      ]);
    },

    findViolation: (replay) => {
      const refused = replay().isAmbiguous ? [] : quarantinedInnocents(replay());
      if (refused.length > 0)
        return `${refused.join(', ')} refused ${RECOVERY_MS} ms after all harm`;
      // Without a leader, entries can't run suspects on separate targets and aren't held to this property.
      if (!areSuspectsIsolated) return undefined;
      const later = Math.max(laterArrivals(replay(), true), laterArrivals(replay(), false));
      if (later <= MAX_LATER_ARRIVALS) return undefined;
      return `a culprit reached ${later} targets later than ${SETTLING_MS} ms after its third`;
    },

    describe: (event) => {
      if (event.kind === 'wait') return `${event.ms} ms pass`;
      if (event.kind === 'complete') return `${event.content} runs to its end`;
      const cause = event.isCrash ? 'crashes' : 'loses its power';
      const who = event.targets === 1 ? 'a target' : `each of ${event.targets} targets`;
      return `${who} ${cause} while it runs ${event.contents.join(' and ')}`;
    },
  };
}

function advanceTime(state: State, ms: number): void {
  state.now += ms;
  state.quarantine.tick(state.now);
}

type Termination = Omit<Event & { kind: 'terminate' }, 'kind'>;

function terminateTargets(state: State, { contents, isCrash, targets }: Termination): void {
  const { quarantine, now, ran, arrivals } = state;
  if (!isCrash) state.powerLosses += 1;
  const runs = contents.map((content) => {
    return { content, isTrial: quarantine.standing(content) === 'suspected' };
  });
  for (let i = 0; i < targets; i++) {
    const target = { id: `t${state.crashedTargets}`, bornAt: 1 };
    const lifetime = domain.quarantine.crashedLifetimes.lifetimeKey(target);
    state.crashedTargets += 1;
    ran.set(lifetime, contents);
    runs.forEach(({ content, isTrial }) => {
      quarantine.reportCrash(content, lifetime, { sentAt: now, isTrial }, now);
      arrivals.set(content, [...(arrivals.get(content) ?? []), now]);
    });
  }
}

/**
 * Whether an innocent content is quarantined for a crash of a culprit that crashed no other target as the only
 * culprit.
 */
function isAmbiguousFor(
  { quarantine, ran }: State,
  innocent: string,
  culpritContents: readonly string[],
): boolean {
  if (quarantine.standing(innocent) !== 'quarantined') return false;
  const ranBeside = quarantine.crashesOf(innocent).flatMap((lifetime) => ran.get(lifetime) ?? []);
  const culpritsByTarget = [...ran.values()].map((contents) =>
    contents.filter((each) => culpritContents.includes(each)),
  );
  return culpritContents.some((culprit) => {
    const aloneCrashes = culpritsByTarget.filter(
      (culprits) => culprits.length === 1 && culprits[0] === culprit,
    );
    return ranBeside.includes(culprit) && aloneCrashes.length <= 1;
  });
}

/** All non-empty subsets. */
function subsets<T>(of: readonly T[]): T[][] {
  return of
    .reduce<T[][]>((all, each) => [...all, ...all.map((some) => [...some, each])], [[]])
    .slice(1);
}
