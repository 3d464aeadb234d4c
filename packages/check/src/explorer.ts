/**
 * Explores the reachable states of a model. All sequences of events up to a depth are applied breadth-first, so that
 * the first counterexample is a shortest one. Longer sequences are sampled by random walks from a seed. The code
 * under test keeps its state in objects that can't be copied, so each state is reached by replaying its trace from
 * the initial state.
 */
import * as domain from '@celerydrift/domain';

export interface Model<State, Event> {
  /** Creates the state before any event. */
  initialState: () => State;
  /** Events that may happen next. */
  enabledEvents: (state: State) => Event[];
  apply: (state: State, event: Event) => void;
  /** Equal for states with the same future behaviour. */
  fingerprint: (state: State) => string;
  /**
   * Describes a violated property; undefined if there is none. `replay` creates copies of the state that may be
   * modified.
   */
  findViolation: (replay: () => State) => string | undefined;
  describe: (event: Event) => string;
}

/** A violated property with its counterexample. */
export interface Finding {
  problem: string;
  /** Descriptions of the events that led to the violation, in order. */
  story: string[];
}

export interface Exploration {
  /** Number of distinct states, including the initial one. */
  states: number;
  /** Number of events that were applied. */
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

/** Applies all sequences of at most `depth` events. */
export function explore<State, Event>(model: Model<State, Event>, depth: number): Exploration {
  const fingerprints = new Set([model.fingerprint(model.initialState())]);
  let frontier: Event[][] = [[]];
  let steps = 0;
  for (let level = 0; level < depth; level++) {
    const next: Event[][] = [];
    for (const trace of frontier) {
      for (const event of model.enabledEvents(replayTrace(model, trace))) {
        const longer = [...trace, event];
        const fingerprint = model.fingerprint(replayTrace(model, longer));
        steps += 1;
        if (!fingerprints.has(fingerprint)) {
          fingerprints.add(fingerprint);
          next.push(longer);
          const finding = checkTrace(model, longer);
          if (finding !== undefined) return { states: fingerprints.size, steps, finding };
        }
      }
    }
    frontier = next;
  }
  return { states: fingerprints.size, steps, finding: undefined };
}

export interface RandomWalks {
  seed: number;
  count: number;
  /** Number of events in each walk. */
  length: number;
}

/** Runs random walks and checks the state at the end of each. The trace of a finding is shrunk to a minimal one. */
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

/** Removes events one by one as long as the rest still violates a property. */
function shrink<State, Event>(
  model: Model<State, Event>,
  trace: readonly Event[],
): readonly Event[] {
  const shorter = trace
    .map((_event, removed) => trace.filter((_each, i) => i !== removed))
    .find(
      (candidate) => isFeasible(model, candidate) && checkTrace(model, candidate) !== undefined,
    );
  return shorter === undefined ? trace : shrink(model, shorter);
}

/** Whether each event of a trace is enabled in the state in which it is applied. */
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
