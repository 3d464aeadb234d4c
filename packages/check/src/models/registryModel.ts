/**
 * Two copies of the registry and one address, at which targets start, announce themselves, crash, leave and start again, under
 * the same id or another one. Announcements are held up and come late, copies miss changes, leadership moves. Promises: no copy
 * ever has two lifetimes in use at the address, and none that left in order; and once the target that lives there has announced
 * itself a few times to a leader that the other copy hears, both have it and no other.
 */
import * as domain from '@celerydrift/domain';
import type * as explorer from '../explorer';
import * as fingerprint from '../fingerprint';

type Registry = domain.registry.registry.Registry;
type Announcement = domain.registry.registry.Announcement;

/** A lifetime by its id and birth. */
interface Lifetime {
  id: string;
  bornAt: number;
}

export type Event =
  | { kind: 'start'; id: string }
  /** The living target announces itself; `how` far that goes. */
  | { kind: 'speak'; how: 'everywhere' | 'leaderOnly' | 'heldUp' }
  /** An announcement that was held up reaches the leader. */
  | { kind: 'arrive'; sequence: number }
  /** It ends without a word. */
  | { kind: 'crash' }
  /** It announces that it leaves, and ends; the leader acknowledged that. */
  | { kind: 'leave' }
  /** An entry met another lifetime at the address of one that the leader has in use. */
  | { kind: 'contradict'; id: string }
  /** The other copy gets all that the leader has. */
  | { kind: 'copy' }
  /** The leader gets all that the other copy has. */
  | { kind: 'tell' }
  /** The other keeper leads from now on; `isTold` whether it got the former leader's copy first. */
  | { kind: 'lead'; isTold: boolean }
  | { kind: 'wait'; ms: number };

export interface World {
  registries: Registry[];
  leader: number;
  now: number;
  living: Lifetime | undefined;
  births: number;
  /** Rises with each announcement of whichever lifetime. */
  sequence: number;
  heldUp: Announcement[];
  /** Lifetimes that left in order, and the copies that know of it. */
  left: { lifetime: Lifetime; known: Set<number> }[];
}

const IDS = ['a', 'b'] as const;

const ADDRESS = '10.0.0.1:80';

/** Targets announce themselves this often, milliseconds. */
const ANNOUNCE_EVERY_MS = 1_200;

/** A target that lives is known everywhere after so many announcements. */
const SETTLING_ANNOUNCEMENTS = 3;

/** Fields of a registry that hold a moment. */
const TIMES = new Set(['heardAt', 'spokeAt', 'contradictedAt']);

const MOST_HELD_UP = 2;
const MOST_BIRTHS = 3;

export function registryModel(make: () => Registry): explorer.Model<World, Event> {
  return {
    begin: () => ({
      registries: [make(), make()],
      leader: 0,
      now: 0,
      living: undefined,
      births: 0,
      sequence: 0,
      heldUp: [],
      left: [],
    }),
    events: eventsOf,
    play,
    fingerprint: ({ now, sequence, ...rest }) => fingerprint.fingerprintOf(rest, now, TIMES),
    problem: (replay) => problemNow(replay()) ?? problemSettled(replay()),
    describe,
  };
}

function eventsOf(world: World): Event[] {
  const { living, births, heldUp } = world;
  const starts = births < MOST_BIRTHS ? IDS.map((id): Event => ({ kind: 'start', id })) : [];
  const ofLiving: Event[] = [
    { kind: 'speak', how: 'everywhere' },
    { kind: 'speak', how: 'leaderOnly' },
    ...(heldUp.length < MOST_HELD_UP ? [{ kind: 'speak', how: 'heldUp' } as const] : []),
    { kind: 'crash' },
    { kind: 'leave' },
  ];
  const contradicted = living === undefined ? [] : wrongly(world, living);
  return [
    ...(living === undefined ? starts : ofLiving),
    ...heldUp.map(({ sequence }): Event => ({ kind: 'arrive', sequence })),
    ...contradicted.map((id): Event => ({ kind: 'contradict', id })),
    { kind: 'copy' },
    { kind: 'tell' },
    { kind: 'lead', isTold: true },
    { kind: 'lead', isTold: false },
    { kind: 'wait', ms: ANNOUNCE_EVERY_MS },
  ];
}

/** Ids that the leader has in use at the address though another lifetime is there. */
function wrongly({ registries, leader }: World, living: Lifetime): string[] {
  return inUse(registries[leader])
    .filter((record) => !isOf(living, record) && record.id !== living.id)
    .map(({ id }) => id);
}

function play(world: World, event: Event): void {
  const { registries, now } = world;
  const leader = registries[world.leader];
  const other = 1 - world.leader;
  if (event.kind === 'start') {
    world.births += 1;
    world.living = { id: event.id, bornAt: world.births };
  } else if (event.kind === 'speak') speak(world, event.how);
  else if (event.kind === 'arrive') arrive(world, event.sequence);
  else if (event.kind === 'crash') world.living = undefined;
  else if (event.kind === 'leave') leave(world);
  else if (event.kind === 'contradict') {
    registries[other].follow(leader.presumeEnded(event.id, now), now);
  } else if (event.kind === 'copy') copy(world, world.leader, other);
  else if (event.kind === 'tell') tell(world);
  else if (event.kind === 'lead') {
    if (event.isTold) copy(world, world.leader, other);
    world.leader = other;
  } else world.now += event.ms;
}

function wordOf(world: World, { id, bornAt }: Lifetime): Announcement {
  world.sequence += 1;
  const { sequence } = world;
  const place = { service: 's', address: ADDRESS, dataCentre: 'd', slots: 1 };
  return { id, bornAt, ...place, state: 'ready', sequence };
}

function speak(world: World, how: 'everywhere' | 'leaderOnly' | 'heldUp'): void {
  const { registries, leader, now, living } = world;
  if (living === undefined) return;
  const word = wordOf(world, living);
  if (how === 'heldUp') {
    world.heldUp.push(word);
    return;
  }
  const changed = registries[leader].announce(word, now);
  if (how === 'everywhere') registries[1 - leader].follow(changed, now);
}

function arrive(world: World, sequence: number): void {
  const { registries, leader, now } = world;
  const word = world.heldUp.find((each) => each.sequence === sequence);
  world.heldUp = world.heldUp.filter((each) => each !== word);
  if (word !== undefined)
    registries[1 - leader].follow(registries[leader].announce(word, now), now);
}

function leave(world: World): void {
  const { registries, leader, now, living } = world;
  if (living === undefined) return;
  registries[leader].depart(living.id, now, living.bornAt);
  world.left.push({ lifetime: living, known: new Set([leader]) });
  world.living = undefined;
}

function copy(world: World, from: number, to: number): void {
  const { registries, now } = world;
  registries[to].follow(registries[from].records(), now);
  world.left.filter(({ known }) => known.has(from)).forEach(({ known }) => known.add(to));
}

function tell({ registries, leader, now, left }: World): void {
  const other = 1 - leader;
  const changed = registries[leader].merge(registries[other].records(), now);
  registries[other].follow(changed, now);
  left.filter(({ known }) => known.has(other)).forEach(({ known }) => known.add(leader));
}

function isOf({ id, bornAt }: Lifetime, record: Lifetime): boolean {
  return id === record.id && bornAt === record.bornAt;
}

function inUse(registry: Registry): Announcement[] {
  return registry.records().filter(({ state }) => state !== 'gone');
}

function problemNow({ registries, left }: World): string | undefined {
  const problems = registries.map((registry, i) => {
    const used = inUse(registry);
    if (used.length > 1) return `copy ${i} has ${used.map(named).join(' and ')} in use`;
    const known = left.filter(({ known: copies }) => copies.has(i));
    const returned = used.find((record) => known.some(({ lifetime }) => isOf(lifetime, record)));
    return returned && `copy ${i} has ${named(returned)} in use, which left`;
  });
  return problems.find((problem) => problem !== undefined);
}

/** The living target goes on announcing itself, and the other copy hears of the leader. */
function problemSettled(world: World): string | undefined {
  const { living, registries } = world;
  if (living === undefined) return undefined;
  for (let i = 0; i < SETTLING_ANNOUNCEMENTS; i++) {
    world.now += ANNOUNCE_EVERY_MS;
    speak(world, 'everywhere');
    copy(world, world.leader, 1 - world.leader);
  }
  const lacking = registries.findIndex((registry) => {
    return !inUse(registry).some((record) => isOf(living, record));
  });
  if (lacking === -1) return problemNow(world);
  return `copy ${lacking} hasn't ${named(living)} in use, which has announced itself ${SETTLING_ANNOUNCEMENTS} times`;
}

function named({ id, bornAt }: Lifetime): string {
  return `${id}/${bornAt}`;
}

function describe(event: Event): string {
  if (event.kind === 'start') return `a target starts as ${event.id}`;
  if (event.kind === 'arrive') return 'an announcement that was held up arrives';
  if (event.kind === 'contradict') return `an entry meets another lifetime in place of ${event.id}`;
  if (event.kind === 'lead')
    return `the other keeper leads, ${event.isTold ? '' : 'not '}told of all`;
  if (event.kind === 'wait') return `${event.ms} ms pass`;
  if (event.kind === 'copy') return 'the other copy gets all';
  if (event.kind === 'tell') return 'the leader gets all that the other copy has';
  if (event.kind === 'crash') return 'the target crashes';
  if (event.kind === 'leave') return 'the target leaves in order';
  const heard = {
    everywhere: 'heard everywhere',
    leaderOnly: 'heard by the leader',
    heldUp: 'held up',
  };
  return `the target announces itself, ${heard[event.how]}`;
}
