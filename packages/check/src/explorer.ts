/**
 * Explores what a model may come to. All orders of its events are played up to a depth, shortest first, so that the first
 * story that breaks a promise is also a shortest one; beyond that depth stories are drawn at random from a seed. The code under
 * test keeps its state in objects that can't be copied, so each state is reached by playing its story from the beginning.
 */
import * as domain from '@celerydrift/domain';

export interface Model<State, Event> {
  /** A state in which nothing has happened. */
  initialState: () => State;
  /** What may happen next. */
  enabledEvents: (state: State) => Event[];
  apply: (state: State, event: Event) => void;
  /** The same text for worlds that can't be told apart by what comes. */
  fingerprint: (state: State) => string;
  /** What is wrong; undefined for nothing. `replay` makes further worlds in the same state, to be used up. */
  findViolation: (replay: () => State) => string | undefined;
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

function replayTrace<State, Event>(model: Model<State, Event>, trace: readonly Event[]): State {
  const state = model.initialState();
  trace.forEach((event) => model.apply(state, event));
  return state;
}

function checkTrace<State, Event>(
  model: Model<State, Event>,
  trace: readonly Event[],
): Finding | undefined {
  const problem = model.findViolation(() => replayTrace(model, trace));
  return problem === undefined ? undefined : { problem, story: trace.map(model.describe) };
}

/** Plays all orders of at most `depth` events. */
export function explore<State, Event>(model: Model<State, Event>, depth: number): Exploration {
  const known = new Set([model.fingerprint(model.initialState())]);
  let frontier: Event[][] = [[]];
  let steps = 0;
  for (let level = 0; level < depth; level++) {
    const next: Event[][] = [];
    for (const trace of frontier) {
      for (const event of model.enabledEvents(replayTrace(model, trace))) {
        const longer = [...trace, event];
        const fingerprint = model.fingerprint(replayTrace(model, longer));
        steps += 1;
        if (!known.has(fingerprint)) {
          known.add(fingerprint);
          next.push(longer);
          const finding = checkTrace(model, longer);
          if (finding !== undefined) return { states: known.size, steps, finding };
        }
      }
    }
    frontier = next;
  }
  return { states: known.size, steps, finding: undefined };
}

export interface RandomWalks {
  seed: number;
  count: number;
  /** Events of each. */
  length: number;
}

/** Plays stories that are drawn at random; each is checked at its end. A finding's story is shortened as far as it goes. */
export function walk<State, Event>(
  model: Model<State, Event>,
  { seed, count, length }: RandomWalks,
): Exploration {
  let steps = 0;
  for (let i = 0; i < count; i++) {
    const random = domain.shared.random.independent(seed + i);
    const state = model.initialState();
    const trace: Event[] = [];
    for (let step = 0; step < length; step++) {
      const events = model.enabledEvents(state);
      if (events.length === 0) break;
      const event = domain.shared.random.pick(random, events);
      model.apply(state, event);
      trace.push(event);
    }
    steps += trace.length;
    const finding = checkTrace(model, trace);
    if (finding !== undefined) {
      return { states: i + 1, steps, finding: checkTrace(model, shrink(model, trace)) };
    }
  }
  return { states: count, steps, finding: undefined };
}

/** Leaves out events one by one as long as the rest still shows a problem. */
function shrink<State, Event>(
  model: Model<State, Event>,
  trace: readonly Event[],
): readonly Event[] {
  const shorter = trace
    .map((_event, left) => trace.filter((_each, i) => i !== left))
    .find((each) => isFeasible(model, each) && checkTrace(model, each) !== undefined);
  return shorter === undefined ? trace : shrink(model, shorter);
}

/** Whether each event may happen where it stands in the story. */
function isFeasible<State, Event>(model: Model<State, Event>, trace: readonly Event[]): boolean {
  const state = model.initialState();
  return trace.every((event) => {
    const isEnabled = model
      .enabledEvents(state)
      .map(model.describe)
      .includes(model.describe(event));
    if (isEnabled) model.apply(state, event);
    return isEnabled;
  });
}
