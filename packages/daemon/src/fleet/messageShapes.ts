/**
 * The shapes of messages between entries and keepers, checked where they are received: what passes can be read without
 * an error. Another version of the program may send more fields; those that a version may leave out are optional here.
 */
import * as t from 'io-ts';
import * as wire from '../replicas/wire';
import type * as messageChecks from '../rpc/messageChecks';

const VERSION = t.type({ epoch: t.string, change: t.number });

const LIFETIME = t.type({ id: t.string, bornAt: t.number });

const ENDPOINT = t.type({ service: t.string, address: t.string });

const BYTES = new t.Type<Uint8Array>(
  'bytes',
  (value): value is Uint8Array => value instanceof Uint8Array,
  (value, context) => (value instanceof Uint8Array ? t.success(value) : t.failure(value, context)),
  t.identity,
);

const STATE = t.keyof({ ready: null, draining: null, gone: null });

const NAMES = { id: t.string, service: t.string, address: t.string, dataCentre: t.string };

const RECORDS = t.array(
  t.type({ ...NAMES, bornAt: t.number, slots: t.number, state: STATE, sequence: t.number }),
);

const CRASH = t.type({ lifetime: t.string, agoMs: t.number, isTrial: t.boolean });

const SUSPECTS = t.array(
  t.intersection([
    t.type({ content: t.string, endings: t.array(CRASH), quarantines: t.number }),
    t.partial({ quarantinedForMs: t.number }),
  ]),
);

const LIMITS = t.array(
  t.intersection([ENDPOINT, t.partial({ perSecond: t.number, source: t.literal('cold') })]),
);

/** What a packed registry holds. */
export const SNAPSHOT = t.type({ records: RECORDS, suspects: SUSPECTS, limits: LIMITS });

const EDITION = t.type({ version: t.number, packed: BYTES });

const EVACUATION = t.type({
  dataCentre: t.string,
  startedAt: t.number,
  requestedBy: t.string,
});

const EVACUATIONS = t.type({ revision: t.number, evacuations: t.array(EVACUATION) });

const COMMAND = t.union([
  t.type({ kind: t.literal('evacuate'), evacuation: EVACUATION }),
  t.type({ kind: t.literal('endEvacuation'), dataCentre: t.string }),
]);

const POSITION = t.type({ term: t.number, taken: t.number });

const UPDATE = t.intersection([
  t.type({ records: RECORDS, mark: VERSION, suspects: SUSPECTS, limits: LIMITS }),
  t.partial({
    packedRecords: BYTES,
    packedRegistry: BYTES,
    since: VERSION,
    edition: EDITION,
    evacuations: EVACUATIONS,
  }),
]);

/** A request as a leader allocates it. */
const REQUEST = t.intersection([
  t.type({
    id: t.string,
    entry: t.string,
    service: t.string,
    dataCentre: t.string,
    excluded: t.array(t.string),
    tokens: t.number,
    answerTokens: t.number,
    objectiveMs: t.number,
    pauseMs: t.number,
    waitedMs: t.number,
  }),
  t.partial({ writers: t.array(t.string), endings: t.number }),
]);

const DISPATCHES = t.array(
  t.intersection([t.type({ request: REQUEST, target: t.string }), t.partial({ bornAt: t.number })]),
);

const { MEMBERS } = wire;

const REDIRECT = t.type({ kind: t.literal('redirect'), leader: t.string });

const UNAVAILABLE = t.type({ kind: t.literal('unavailable'), detail: t.string });

const APPLIED = t.union([t.type({ kind: t.literal('taken') }), REDIRECT]);

const CONFIRMATION = t.intersection([
  t.type({
    kind: t.literal('confirmed'),
    keepers: t.array(t.string),
    entries: t.number,
    lacksTargets: t.boolean,
    crowding: t.array(t.type({ service: t.string, value: t.number, pauseMs: t.number })),
    news: UPDATE,
  }),
  t.partial({
    entryRank: t.number,
    relays: t.array(t.type({ address: t.string, dataCentre: t.string })),
    evacuationReplicas: t.array(t.string),
  }),
]);

const PLACEMENT = t.type({
  target: t.string,
  address: t.string,
  helpers: t.array(t.type({ target: t.string, address: t.string, keptTokens: t.number })),
  firstTokenMs: t.number,
});

const FOLLOW = t.intersection([
  t.type({
    name: t.string,
    role: t.keyof({ entry: null, keeper: null }),
    address: t.string,
    dataCentre: t.string,
    version: t.number,
    mark: VERSION,
    records: RECORDS,
    dispatches: DISPATCHES,
    suspects: SUSPECTS,
    limits: LIMITS,
  }),
  t.partial({
    hasCatalogue: t.boolean,
    packedRecords: BYTES,
    replica: t.string,
    evacuationRevision: t.number,
    lostScopes: t.array(t.string),
  }),
]);

const PLACE = t.intersection([
  REQUEST,
  t.type({ patienceMs: t.number }),
  t.partial({
    organisation: t.string,
    urgency: t.number,
    content: t.string,
    leavesInMs: t.number,
    timeLeftMs: t.number,
  }),
]);

const TARGET_CRASH = t.type({
  content: t.string,
  lifetime: LIFETIME,
  isTrial: t.boolean,
  agoMs: t.number,
  sentAgoMs: t.number,
});

const ENDED = t.intersection([
  t.type({
    dispatches: t.array(
      t.intersection([
        t.type({ id: t.string, ending: t.string, target: t.string }),
        t.partial({ bornAt: t.number, faulty: t.string, gapMs: t.number }),
      ]),
    ),
  }),
  t.partial({
    verdicts: t.array(
      t.intersection([
        t.type({ target: t.string, isAlive: t.boolean }),
        t.partial({ bornAt: t.number }),
      ]),
    ),
  }),
]);

const PERMIT = t.intersection([
  t.type({
    content: t.string,
    id: t.string,
    entry: t.string,
    service: t.string,
    excluded: t.array(t.string),
  }),
  t.partial({ fingerprints: t.array(t.string) }),
]);

const LIMITED = t.intersection([
  t.type({
    limits: LIMITS,
    spent: t.array(t.intersection([ENDPOINT, t.type({ count: t.number })])),
  }),
  t.partial({ cold: t.array(t.intersection([ENDPOINT, t.type({ coldForMs: t.number })])) }),
]);

const WITHHELD = t.intersection([t.type({ target: t.string }), t.partial({ forMs: t.number })]);

export const SHAPES: messageChecks.Shapes = {
  requests: new Map<string, t.Mixed>([
    ['follow', FOLLOW],
    ['learn', UPDATE],
    ['announced', t.type({ records: RECORDS })],
    [
      'departed',
      t.intersection([
        t.type({ id: t.string }),
        t.partial({ bornAt: t.number, isUnknown: t.boolean }),
      ]),
    ],
    ['lifetime', t.type({ id: t.string })],
    ['leaving', t.type({ lifetimes: t.array(LIFETIME) })],
    ['submit', t.type({ edition: EDITION })],
    ['evacuate', t.intersection([t.type({ command: COMMAND }), t.partial({ position: POSITION })])],
    ['place', PLACE],
    ['ended', ENDED],
    ['blame', t.type({ ended: t.array(TARGET_CRASH) })],
    ['permit', PERMIT],
    ['limited', LIMITED],
    ['grant', t.type({ places: t.array(ENDPOINT), purpose: t.string })],
    ['trialEnded', t.type({ content: t.string, id: t.string, ranWhole: t.boolean })],
    ['reach', t.type({ target: t.string, address: t.string })],
    ['found', t.type({ members: MEMBERS })],
    ['replicate', t.type({ address: t.string, messages: t.array(t.UnknownRecord) })],
  ]),
  answers: new Map<string, t.Mixed>([
    [
      'identify',
      t.type({
        replica: t.string,
        address: t.string,
        dataCentre: t.string,
        founded: t.boolean,
        members: MEMBERS,
      }),
    ],
    ['follow', t.union([CONFIRMATION, REDIRECT])],
    ['learn', t.partial({ mark: VERSION })],
    ['announced', t.boolean],
    ['departed', t.boolean],
    [
      'lifetime',
      t.union([
        t.intersection([t.type({ kind: t.literal('lifetime') }), t.partial({ bornAt: t.number })]),
        UNAVAILABLE,
      ]),
    ],
    ['leaving', APPLIED],
    ['submit', t.union([t.type({ kind: t.literal('accepted'), version: t.number }), UNAVAILABLE])],
    [
      'newest',
      t.union([
        t.intersection([t.type({ kind: t.literal('newest') }), t.partial({ edition: EDITION })]),
        UNAVAILABLE,
      ]),
    ],
    [
      'evacuate',
      t.union([t.type({ kind: t.literal('accepted'), revision: t.number }), UNAVAILABLE]),
    ],
    [
      'orderPosition',
      t.union([t.type({ kind: t.literal('position'), position: POSITION }), UNAVAILABLE]),
    ],
    [
      'evacuations',
      t.union([t.type({ kind: t.literal('listed'), listing: t.UnknownRecord }), UNAVAILABLE]),
    ],
    [
      'place',
      t.union([
        t.type({ kind: t.literal('placed'), placement: PLACEMENT }),
        t.type({ kind: t.literal('noPlace'), retryAfterMs: t.number }),
        REDIRECT,
      ]),
    ],
    ['blame', t.union([t.type({ kind: t.literal('taken'), reports: SUSPECTS }), REDIRECT])],
    [
      'permit',
      t.union([
        t.intersection([
          t.type({ kind: t.literal('granted'), endings: t.number }),
          t.partial({ target: t.string }),
        ]),
        t.type({ kind: t.literal('busy') }),
        t.intersection([
          t.type({ kind: t.literal('quarantined') }),
          t.partial({ culprit: t.string }),
        ]),
        REDIRECT,
      ]),
    ],
    ['limited', APPLIED],
    [
      'grant',
      t.union([
        t.type({ kind: t.literal('granted'), place: ENDPOINT }),
        t.type({ kind: t.literal('wait'), waitMs: t.number }),
        REDIRECT,
      ]),
    ],
    ['trialEnded', APPLIED],
    [
      'relayStatus',
      t.intersection([
        t.type({ isReady: t.boolean, active: t.number, lost: t.array(t.string) }),
        t.partial({ withheld: t.array(WITHHELD) }),
      ]),
    ],
    ['reach', t.partial({ isAlive: t.boolean, isSilent: t.boolean, doOthersRespond: t.boolean })],
    ['found', t.type({ founded: t.literal(true) })],
  ]),
};
