/**
 * Explores what a model may come to. All orders of its events are played up to a depth, shortest first, so that the first
 * story that breaks a promise is also a shortest one; beyond that depth stories are drawn at random from a seed. The code under
 * test keeps its state in objects that can't be copied, so each state is reached by playing its story from the beginning.
 */
import * as domain from '@celerydrift/domain';

export interface Model<World, Event> {
  /** A world in which nothing has happened. */
  begin: () => World;
  /** What may happen next. */
  events: (world: World) => Event[];
  play: (world: World, event: Event) => void;
  /** The same text for worlds that can't be told apart by what comes. */
  fingerprint: (world: World) => string;
  /** What is wrong; undefined for nothing. `replay` makes further worlds in the same state, to be used up. */
  problem: (replay: () => World) => string | undefined;
  describe: (event: Event) => string;
}

export interface Finding {
  problem: string;
  /** The events that led to it, in order. */
  story: string[];
}

export interface Exploration {
  /** States that differ, the first one included. */
  states: number;
  /** Events that were played on them. */
  steps: number;
  finding: Finding | undefined;
}

function replayed<World, Event>(model: Model<World, Event>, story: readonly Event[]): World {
  const world = model.begin();
  story.forEach((event) => model.play(world, event));
  return world;
}

function findingOf<World, Event>(
  model: Model<World, Event>,
  story: readonly Event[],
): Finding | undefined {
  const problem = model.problem(() => replayed(model, story));
  return problem === undefined ? undefined : { problem, story: story.map(model.describe) };
}

/** Plays all orders of at most `depth` events. */
export function explore<World, Event>(model: Model<World, Event>, depth: number): Exploration {
  const known = new Set([model.fingerprint(model.begin())]);
  let frontier: Event[][] = [[]];
  let steps = 0;
  for (let level = 0; level < depth; level++) {
    const next: Event[][] = [];
    for (const story of frontier) {
      for (const event of model.events(replayed(model, story))) {
        const longer = [...story, event];
        const fingerprint = model.fingerprint(replayed(model, longer));
        steps += 1;
        if (!known.has(fingerprint)) {
          known.add(fingerprint);
          next.push(longer);
          const finding = findingOf(model, longer);
          if (finding !== undefined) return { states: known.size, steps, finding };
        }
      }
    }
    frontier = next;
  }
  return { states: known.size, steps, finding: undefined };
}

export interface Walks {
  seed: number;
  count: number;
  /** Events of each. */
  length: number;
}

/** Plays stories that are drawn at random; each is checked at its end. A finding's story is shortened as far as it goes. */
export function walk<World, Event>(
  model: Model<World, Event>,
  { seed, count, length }: Walks,
): Exploration {
  let steps = 0;
  for (let i = 0; i < count; i++) {
    const random = domain.shared.random.independent(seed + i);
    const world = model.begin();
    const story: Event[] = [];
    for (let step = 0; step < length; step++) {
      const events = model.events(world);
      if (events.length === 0) break;
      const event = domain.shared.random.pick(random, events);
      model.play(world, event);
      story.push(event);
    }
    steps += story.length;
    const finding = findingOf(model, story);
    if (finding !== undefined) {
      return { states: i + 1, steps, finding: findingOf(model, shortened(model, story)) };
    }
  }
  return { states: count, steps, finding: undefined };
}

/** Leaves out events one by one as long as the rest still shows a problem. */
function shortened<World, Event>(
  model: Model<World, Event>,
  story: readonly Event[],
): readonly Event[] {
  const shorter = story
    .map((_event, left) => story.filter((_each, i) => i !== left))
    .find((each) => isPlayable(model, each) && findingOf(model, each) !== undefined);
  return shorter === undefined ? story : shortened(model, shorter);
}

/** Whether each event may happen where it stands in the story. */
function isPlayable<World, Event>(model: Model<World, Event>, story: readonly Event[]): boolean {
  const world = model.begin();
  return story.every((event) => {
    const may = model.events(world).map(model.describe).includes(model.describe(event));
    if (may) model.play(world, event);
    return may;
  });
}
