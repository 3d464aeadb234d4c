/**
 * Models two replicas of the registry and one address, at which targets start, announce themselves, crash, depart and
 * restart, under the same id or another one. Announcements are delayed, replicas miss changes, and the leader
 * changes. Checks two properties: no replica ever has two lifetimes in use at the address, nor one that has departed;
 * and once the running target has announced itself a few times to a leader that the other replica follows, both have
 * it in use and no other.
 */
import * as domain from '@celerydrift/domain';
import type * as explorer from '../explorer';
import * as fingerprint from '../fingerprint';

type Registry = domain.registry.registry.Registry;
type Announcement = domain.registry.registry.Announcement;

/** A lifetime of a target, identified by its id and start time. */
interface Lifetime {
  id: string;
  bornAt: number;
}

export type Event =
  | { kind: 'start'; id: string }
  /** The running target announces itself; `how` tells which replicas receive that. */
  | { kind: 'announce'; how: 'everywhere' | 'leaderOnly' | 'delayed' }
  /** A delayed announcement reaches the leader and then the other replica. */
  | { kind: 'deliver'; sequence: number }
  /** The target terminates without an announcement. */
  | { kind: 'crash' }
  /** The target departs, which the leader acknowledges, and terminates. */
  | { kind: 'depart' }
  /** An entry reached another lifetime at the address of one that the leader has in use. */
  | { kind: 'contradict'; id: string }
  /** The other replica receives all records of the leader. */
  | { kind: 'replicate' }
  /** The leader merges all records of the other replica. */
  | { kind: 'merge' }
  /** The other keeper becomes the leader; `isCaughtUp` if it received the former leader's records before. */
  | { kind: 'changeLeader'; isCaughtUp: boolean }
  | { kind: 'wait'; ms: number };

export interface State {
  registries: Registry[];
  leader: number;
  now: number;
  running: Lifetime | undefined;
  startCount: number;
  /** Increases with each announcement of any lifetime. */
  sequence: number;
  delayed: Announcement[];
  /** Lifetimes that departed, and the replicas that know of it. */
  departures: { lifetime: Lifetime; knownBy: Set<number> }[];
}

const IDS = ['a', 'b'] as const;

const ADDRESS = '10.0.0.1:80';

/** Interval between two announcements of a target. */
const ANNOUNCE_EVERY_MS = 1_200;

/** A running target is in use everywhere after this many announcements. */
const SETTLING_ANNOUNCEMENTS = 3;

/** Fields of a registry that contain a time. */
const TIME_FIELDS = new Set(['heardAt', 'spokeAt', 'contradictedAt']);

const MAX_DELAYED = 2;
const MAX_STARTS = 3;

export function registryModel(newRegistry: () => Registry): explorer.Model<State, Event> {
  return {
    initialState: () => ({
      registries: [newRegistry(), newRegistry()],
      leader: 0,
      now: 0,
      running: undefined,
      startCount: 0,
      sequence: 0,
      delayed: [],
      departures: [],
    }),
    enabledEvents: eventsOf,
    apply,
    fingerprint: ({ now, sequence, ...rest }) => fingerprint.fingerprintOf(rest, now, TIME_FIELDS),
    findViolation: (replay) => invariantViolation(replay()) ?? convergenceViolation(replay()),
    describe,
  };
}

function eventsOf(state: State): Event[] {
  const { running, startCount, delayed } = state;
  const starts = startCount < MAX_STARTS ? IDS.map((id): Event => ({ kind: 'start', id })) : [];
  const ofRunning: Event[] = [
    { kind: 'announce', how: 'everywhere' },
    { kind: 'announce', how: 'leaderOnly' },
    ...(delayed.length < MAX_DELAYED ? [{ kind: 'announce', how: 'delayed' } as const] : []),
    { kind: 'crash' },
    { kind: 'depart' },
  ];
  const contradicted = running === undefined ? [] : wronglyInUse(state, running);
  return [
    ...(running === undefined ? starts : ofRunning),
    ...delayed.map(({ sequence }): Event => ({ kind: 'deliver', sequence })),
    ...contradicted.map((id): Event => ({ kind: 'contradict', id })),
    { kind: 'replicate' },
    { kind: 'merge' },
    { kind: 'changeLeader', isCaughtUp: true },
    { kind: 'changeLeader', isCaughtUp: false },
    { kind: 'wait', ms: ANNOUNCE_EVERY_MS },
  ];
}

/** Ids that the leader has in use at the address although another lifetime runs there. */
function wronglyInUse({ registries, leader }: State, running: Lifetime): string[] {
  return inUse(registries[leader])
    .filter((record) => !isSameLifetime(running, record) && record.id !== running.id)
    .map(({ id }) => id);
}

function apply(state: State, event: Event): void {
  const { registries, now } = state;
  const leader = registries[state.leader];
  const other = 1 - state.leader;
  if (event.kind === 'start') {
    state.startCount += 1;
    state.running = { id: event.id, bornAt: state.startCount };
  } else if (event.kind === 'announce') announce(state, event.how);
  else if (event.kind === 'deliver') deliver(state, event.sequence);
  else if (event.kind === 'crash') state.running = undefined;
  else if (event.kind === 'depart') depart(state);
  else if (event.kind === 'contradict') {
    registries[other].follow(leader.reportReplaced(event.id, now), now);
  } else if (event.kind === 'replicate') replicate(state, state.leader, other);
  else if (event.kind === 'merge') mergeIntoLeader(state);
  else if (event.kind === 'changeLeader') {
    if (event.isCaughtUp) replicate(state, state.leader, other);
    state.leader = other;
  } else state.now += event.ms;
}

function newAnnouncement(state: State, { id, bornAt }: Lifetime): Announcement {
  state.sequence += 1;
  const { sequence } = state;
  const common = { service: 's', address: ADDRESS, dataCentre: 'd', slots: 1 };
  return { id, bornAt, ...common, state: 'ready', sequence };
}

function announce(state: State, how: 'everywhere' | 'leaderOnly' | 'delayed'): void {
  const { registries, leader, now, running } = state;
  if (running === undefined) return;
  const announcement = newAnnouncement(state, running);
  if (how === 'delayed') {
    state.delayed.push(announcement);
    return;
  }
  const changed = registries[leader].announce(announcement, now);
  if (how === 'everywhere') registries[1 - leader].follow(changed, now);
}

function deliver(state: State, sequence: number): void {
  const { registries, leader, now } = state;
  const announcement = state.delayed.find((each) => each.sequence === sequence);
  state.delayed = state.delayed.filter((each) => each !== announcement);
  if (announcement !== undefined)
    registries[1 - leader].follow(registries[leader].announce(announcement, now), now);
}

function depart(state: State): void {
  const { registries, leader, now, running } = state;
  if (running === undefined) return;
  registries[leader].depart(running.id, now, running.bornAt);
  state.departures.push({ lifetime: running, knownBy: new Set([leader]) });
  state.running = undefined;
}

function replicate(state: State, from: number, to: number): void {
  const { registries, now } = state;
  registries[to].follow(registries[from].records(), now);
  state.departures
    .filter(({ knownBy }) => knownBy.has(from))
    .forEach(({ knownBy }) => knownBy.add(to));
}

function mergeIntoLeader({ registries, leader, now, departures }: State): void {
  const other = 1 - leader;
  const changed = registries[leader].merge(registries[other].records(), now);
  registries[other].follow(changed, now);
  departures
    .filter(({ knownBy }) => knownBy.has(other))
    .forEach(({ knownBy }) => knownBy.add(leader));
}

function isSameLifetime({ id, bornAt }: Lifetime, record: Lifetime): boolean {
  return id === record.id && bornAt === record.bornAt;
}

function inUse(registry: Registry): Announcement[] {
  return registry.records().filter(({ state }) => state !== 'gone');
}

function invariantViolation({ registries, departures }: State): string | undefined {
  const problems = registries.map((registry, i) => {
    const recordsInUse = inUse(registry);
    if (recordsInUse.length > 1)
      return `copy ${i} has ${recordsInUse.map(nameOf).join(' and ')} in use`;
    const departed = departures.filter(({ knownBy }) => knownBy.has(i));
    const returned = recordsInUse.find((record) =>
      departed.some(({ lifetime }) => isSameLifetime(lifetime, record)),
    );
    return returned && `copy ${i} has ${nameOf(returned)} in use, which has departed`;
  });
  return problems.find((problem) => problem !== undefined);
}

/** Lets the running target keep announcing itself and the leader replicate, and checks that both replicas converge. */
function convergenceViolation(state: State): string | undefined {
  const { running, registries } = state;
  if (running === undefined) return undefined;
  for (let i = 0; i < SETTLING_ANNOUNCEMENTS; i++) {
    state.now += ANNOUNCE_EVERY_MS;
    announce(state, 'everywhere');
    replicate(state, state.leader, 1 - state.leader);
  }
  const lagging = registries.findIndex((registry) => {
    return !inUse(registry).some((record) => isSameLifetime(running, record));
  });
  if (lagging === -1) return invariantViolation(state);
  return `copy ${lagging} hasn't ${nameOf(running)} in use, which has announced itself ${SETTLING_ANNOUNCEMENTS} times`;
}

function nameOf({ id, bornAt }: Lifetime): string {
  return `${id}/${bornAt}`;
}

function describe(event: Event): string {
  if (event.kind === 'start') return `a target starts as ${event.id}`;
  if (event.kind === 'deliver') return 'an announcement that was held up arrives';
  if (event.kind === 'contradict')
    return `an entry reaches another lifetime at the address of ${event.id}`;
  if (event.kind === 'changeLeader')
    return `the other keeper leads, ${event.isCaughtUp ? '' : 'not '}told of all`;
  if (event.kind === 'wait') return `${event.ms} ms pass`;
  if (event.kind === 'replicate') return 'the other copy receives all records of the leader';
  if (event.kind === 'merge') return 'the leader merges all records of the other copy';
  if (event.kind === 'crash') return 'the target crashes';
  if (event.kind === 'depart') return 'the target leaves in order';
  const receipt = {
    everywhere: 'heard everywhere',
    leaderOnly: 'heard by the leader',
    delayed: 'held up',
  };
  return `the target announces itself, ${receipt[event.how]}`;
}
