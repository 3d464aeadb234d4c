/**
 * Models the quarantine with requests that share parts of their prompts. Some crash every target that begins to answer
 * them, by a part or by their body; innocent ones share their first part. Before the model is observed, any of them are
 * in flight together, and a target loses its power; then all keep arriving in turn. Checks that each
 * innocent request is served again within the recovery time, that crashes end, and that few requests reach targets later.
 */
import * as domain from '@celerydrift/domain';
import type * as explorer from '../explorer';
import * as fingerprint from '../fingerprint';

type Quarantine = domain.quarantine.quarantine.Quarantine;

/** Kind of a request: by the part that crashes targets, with another first part, by body, or innocent. */
export type RequestKind =
  'byPart' | 'byPartElsewhere' | 'byBody' | 'innocent' | 'innocentElsewhere';

export type Event =
  /** A target ends while it runs such requests, none of which has begun its answer. */
  | { kind: 'terminate'; requests: readonly RequestKind[] }
  /** An innocent request begins its answer. */
  | { kind: 'begin'; request: RequestKind }
  | { kind: 'wait'; ms: number };

export interface State {
  quarantine: Quarantine;
  now: number;
  /** Number of requests sent so far; no two prompts have the same body. */
  sent: number;
  crashedTargets: number;
}

const [FIRST, OTHER_FIRST, CRASHING] = domain.quarantine.partFingerprint.ofParts([
  'a1',
  'a2',
  'c0',
]);

const PARTS: Record<RequestKind, readonly string[]> = {
  byPart: [FIRST, CRASHING],
  byPartElsewhere: [OTHER_FIRST, CRASHING],
  byBody: [FIRST],
  innocent: [FIRST],
  innocentElsewhere: [OTHER_FIRST],
};

/** The order in which requests arrive once they are observed. */
const ARRIVALS: readonly RequestKind[] = [
  ...(['byPart', 'byPartElsewhere', 'innocent'] as const),
  ...(['byBody', 'byPart', 'innocentElsewhere'] as const),
];

const INNOCENT: readonly RequestKind[] = ['innocent', 'innocentElsewhere'];

/** Fingerprint of the only body that crashes targets. */
const CRASHING_BODY = '4-crashing';

const WAITS_MS = [600, 2_000] as const;
const TICK_MS = 50;

/** Innocent requests must be served again this long after the last event. */
const RECOVERY_MS = 1_000;

/** From this long after the fifth crash on, at most so many further requests may reach targets. */
const SETTLING_MS = 3_000;
const MAX_LATER_ARRIVALS = 3;
const COUNTED_CRASHES = 5;

const OBSERVATION_MS = 30_000;

export function partModel(newQuarantine: () => Quarantine): explorer.Model<State, Event> {
  const fingerprintsOf = (state: State, kind: RequestKind): string[] => {
    state.sent += 1;
    return [kind === 'byBody' ? CRASHING_BODY : `5-${state.sent}`, ...PARTS[kind]];
  };

  const terminate = (state: State, runs: readonly (readonly string[])[]): void => {
    const { quarantine, now } = state;
    state.crashedTargets += 1;
    const target = { id: `t${state.crashedTargets}`, bornAt: 1 };
    const lifetime = domain.quarantine.crashedLifetimes.lifetimeKey(target);
    const crashes = runs.flat().map((each) => {
      return { fingerprint: each, isTrial: quarantine.standing(each) !== 'free' };
    });
    crashes.forEach(({ fingerprint: each, isTrial }) =>
      quarantine.reportCrash(each, lifetime, { sentAt: now, isTrial }, now),
    );
  };

  const begin = (state: State, kind: RequestKind): boolean => {
    const fingerprints = fingerprintsOf(state, kind);
    const { quarantine, now } = state;
    if (quarantine.assess(fingerprints).kind === 'quarantined') return false;
    PARTS[kind].forEach((part) => quarantine.began(part, now + 1));
    return true;
  };

  /** All kinds keep arriving; returns what went wrong, if anything. */
  const observe = (state: State): string | undefined => {
    const startedAt = state.now;
    const arrivals: number[] = [];
    let fifthCrashAt = state.crashedTargets >= COUNTED_CRASHES ? state.now : Infinity;
    for (let turn = 0; state.now < startedAt + OBSERVATION_MS; turn++) {
      const kind = ARRIVALS[turn % ARRIVALS.length];
      if (INNOCENT.includes(kind)) {
        const afterMs = state.now - startedAt;
        if (!begin(state, kind) && afterMs > RECOVERY_MS)
          return `${kind} refused ${afterMs} ms after the last event`;
      } else {
        const fingerprints = fingerprintsOf(state, kind);
        if (state.quarantine.assess(fingerprints).kind !== 'quarantined') {
          terminate(state, [fingerprints]);
          arrivals.push(state.now);
          if (state.crashedTargets === COUNTED_CRASHES) fifthCrashAt = state.now;
        }
      }
      advance(state, TICK_MS);
    }
    const later = arrivals.filter((at) => at > fifthCrashAt + SETTLING_MS).length;
    return later <= MAX_LATER_ARRIVALS ? undefined : `${later} requests reached targets later`;
  };

  return {
    initialState: () => ({ quarantine: newQuarantine(), now: 0, sent: 0, crashedTargets: 0 }),

    enabledEvents: (state) => {
      const groups: RequestKind[][] = [
        ...[['byPart'], ['byPartElsewhere'], ['byBody'], ['innocent']],
        ...[
          ['byPart', 'innocent'],
          ['byPart', 'byBody'],
          ['byBody', 'innocentElsewhere'],
        ],
        ['byPart', 'byPartElsewhere', 'byBody', 'innocent', 'innocentElsewhere'],
      ] as RequestKind[][];
      const permitted = groups.filter((group) =>
        group.every((kind) => {
          const assessment = state.quarantine.assess([
            ...(kind === 'byBody' ? [CRASHING_BODY] : []),
            ...PARTS[kind],
          ]);
          // A canary run whose target loses its power by chance can't be told from a crash of its own.
          if (group.length === 1 && kind === 'innocent') return assessment.kind === 'free';
          return assessment.kind !== 'quarantined';
        }),
      );
      return [
        ...permitted.map((requests): Event => ({ kind: 'terminate', requests })),
        ...INNOCENT.map((request): Event => ({ kind: 'begin', request })),
        ...WAITS_MS.map((ms): Event => ({ kind: 'wait', ms })),
      ];
    },

    apply: (state, event) => {
      if (event.kind === 'wait') advance(state, event.ms);
      else if (event.kind === 'begin') begin(state, event.request);
      else
        terminate(
          state,
          event.requests.map((kind) => fingerprintsOf(state, kind)),
        );
    },

    fingerprint: ({ quarantine, now, crashedTargets }) =>
      JSON.stringify([
        fingerprint.fingerprintOf(quarantine, now, new Set(['at', 'quarantinedAt'])),
        crashedTargets,
      ]),

    findViolation: (replay) => observe(replay()),

    describe: (event) => {
      if (event.kind === 'wait') return `${event.ms} ms pass`;
      if (event.kind === 'begin') return `a request (${event.request}) begins its answer`;
      return `a target ends while it runs requests (${event.requests.join(', ')})`;
    },
  };
}

function advance(state: State, ms: number): void {
  state.now += ms;
  state.quarantine.tick(state.now);
}
