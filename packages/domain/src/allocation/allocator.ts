/**
 * Gives every prompt of a service its engines, with one view of all dispatches. Entries ask for a place,
 * say when an answer ended, and the allocator counts what each engine has. Losing the allocator loses only the
 * counts: entries then choose by their own dispatches until another one has taken over.
 */
import type * as catalogue from '../catalogue/catalogue';
import * as rateLimits from '../rateLimits/rateLimits';
import type * as registry from '../registry/registry';
import * as random from '../shared/random';
import * as cells from './cells';
import * as cost from './cost';
import * as isolation from './isolation';
import * as load from './load';
import * as planner from './planner';
import * as reading from './reading';
import type * as soundness from './soundness';
import * as unseen from './unseen';
import * as weights from './weights';

export interface Request extends planner.Prompt {
  id: string;
  /** The entry that asks; its dispatches end with it. */
  entry: string;
  service: string;
  /** Targets that this request was sent to before. */
  excluded: readonly string[];
  /** How many targets ended while they ran this content; undefined for none. */
  endings?: number;
}

/** A target that helps to read. */
export interface Helper {
  target: string;
  /** HOST:PORT. */
  address: string;
  /** Tokens of memory to reserve there for the prompt; 0 where it only reads. */
  keptTokens: number;
}

export interface Placement {
  /** Id of the target that gets the request. */
  target: string;
  /** HOST:PORT of that target. */
  address: string;
  helpers: Helper[];
  firstTokenMs: number;
}

export type Choice =
  { kind: 'placed'; placement: Placement } | Exclude<planner.Decision, { kind: 'begin' }>;

/** What an entry saw of a dispatch beside its ending. */
export interface Seen {
  /** The target that made it fail, where that isn't the writer. */
  faulty?: string;
  /** Usual pause between the events of its answer, milliseconds. */
  gapMs?: number;
}

/**
 * Engines of the caller's data centre that are enough to choose among, and how many of them there must be for each
 * engine that may read the prompt. A plan asks each engine what the prompt would spoil there; with 150 engines, a burst
 * after a loss of all cost a new leader 2 ms a prompt, and it answered nobody for half a second at a time. With
 * 30 of them a short prompt takes 0.08 ms in place of 0.35, and one of 45k tokens 0.5 in place of 1.7.
 */
const NEAR_ENGINES = 24;
const NEAR_FOR_EACH_PART = 2;

/**
 * Part of what a prompt is worth that a plan in its data centre may spoil. With more, the engines there are busier than
 * usual, and the others are asked too.
 */
const NEAR_HARM = 0.05;

interface Dispatch {
  entry: string;
  loads: load.Load[];
  writer: load.Load;
}

export class Allocator {
  private readonly loads = new Map<string, load.Load>();

  /** The same by service. */
  private readonly cells = new Map<string, cells.Cells>();

  /** Targets that aren't gone, of all services. */
  private readonly records = new Map<string, registry.Announcement>();

  private readonly planners = new Map<string, planner.Planner>();

  private readonly dispatches = new Map<string, Dispatch>();

  /** Requests that run now and may end their engine. */
  private readonly suspects = new isolation.Isolation();

  private engines = new Map<string, catalogue.Engine>();

  /** What is assumed to be written where this allocator doesn't see it, by service. */
  private readonly crowding = new Map<string, unseen.Crowding>();

  /**
   * `chance` is for an allocator that sees only a part of all dispatches: it chooses among equal engines by
   * chance. Without that, all entries that lost their leader chose the same few engines for all prompts.
   */
  constructor(
    private readonly chance?: random.Random,
    private readonly weighed: weights.Weights = weights.WEIGHTS,
    private readonly limits = new rateLimits.RateLimits(),
  ) {}

  /** Takes the engines of a new catalogue; loads of an engine that changed begin anew. */
  setServices(services: readonly catalogue.Service[]): void {
    const before = this.engines;
    this.engines = new Map(
      services.flatMap(({ name, engine }) => (engine === undefined ? [] : [[name, engine]])),
    );
    const changed = [...this.engines].filter(([name, engine]) => {
      return JSON.stringify(before.get(name)) !== JSON.stringify(engine);
    });
    changed.forEach(([name, engine]) => {
      this.planners.set(name, new planner.Planner(engine, this.weighed));
      this.records.forEach((record) => {
        if (record.service === name) this.replace(this.loadOf(engine, record));
      });
    });
  }

  /** Takes what the registry says of a target, which may come before the catalogue that knows its service. */
  observe(record: registry.Announcement): void {
    if (record.state === 'gone') {
      this.records.delete(record.id);
      this.drop(record.id);
      return;
    }
    this.records.set(record.id, record);
    const known = this.loads.get(record.id);
    const engine = this.engines.get(record.service);
    if (known !== undefined && isSamePlace(known.record, record)) known.record = record;
    else if (engine !== undefined) this.replace(this.loadOf(engine, record));
  }

  /** What is written on the engines of each service on average, for those who see only a part of it. */
  averages(): unseen.Crowding[] {
    return [...this.engines.keys()].map((name) => {
      const ready = this.cellsOf(name)
        .all()
        .filter(({ record }) => record.state === 'ready');
      return unseen.crowdingOf(name, ready);
    });
  }

  /** Assumes that others write as much on each engine. */
  assume(averages: readonly unseen.Crowding[]): void {
    averages.forEach((each) => this.crowding.set(each.service, each));
    this.loads.forEach((each) => this.assumeOthers(each));
  }

  /** A place for the request at once, or undefined where every engine is full. */
  place(request: Request, now: number): Placement | undefined {
    const choice = this.choose(request, now, false);
    return choice.kind === 'placed' ? choice.placement : undefined;
  }

  /** A place for the request, or with `mayWait` the time at which to ask again. */
  choose(request: Request, now: number, mayWait: boolean): Choice {
    const made = this.planners.get(request.service);
    if (made === undefined) return { kind: 'full' };
    const scope = this.scopeOf(request);
    const usable = this.usable(request, scope.all, now);
    const decision =
      this.decideNear(made, request, { ...scope, all: usable }, now) ??
      made.decide(request, usable, now, mayWait);
    if (decision.kind !== 'begin') return decision;
    const { plan } = decision;
    this.occupy(request, plan, now);
    [plan.writer, ...plan.helpers.map((each) => each.load)].forEach(({ record }) => {
      this.limits.take(record, 1, now);
    });
    return { kind: 'placed', placement: placementOf(plan) };
  }

  /** Engines that are asked for a request: all of a small service, else some cells and those that it is bound to. */
  private scopeOf({ service, dataCentre, writers = [] }: Request): cells.Scope {
    const scope = this.cellsOf(service).scope(dataCentre);
    const bound = writers.flatMap((id) => this.loads.get(id) ?? []);
    return { ...scope, all: [...new Set([...scope.all, ...bound])] };
  }

  /** A plan among the engines of the first cell or of the caller's data centre, where these are enough and it spoils next to nothing. */
  private decideNear(
    made: planner.Planner,
    request: Request,
    { first, all }: cells.Scope,
    now: number,
  ): planner.Decision | undefined {
    const ofFirst = new Set(first);
    const near = all.filter((each) => {
      return first === undefined
        ? each.record.dataCentre === request.dataCentre
        : ofFirst.has(each);
    });
    const wanted = NEAR_FOR_EACH_PART * made.sensibleParts(request);
    // A cell has engines enough for any prompt.
    const enough = first === undefined ? Math.max(NEAR_ENGINES, wanted) : NEAR_ENGINES;
    if (near.length < enough || near.length === all.length) return undefined;
    const decision = made.decide(request, near, now, false);
    const isGood =
      decision.kind === 'begin' && decision.plan.harm <= NEAR_HARM * planner.valueOf(request);
    return isGood ? decision : undefined;
  }

  /**
   * When the least busy engine of a service will have read what it was given, milliseconds from now; infinite
   * without engines. A request that found no place finds one then, if nobody else takes it.
   */
  nextPlaceMs(service: string, now: number): number {
    const waits = this.cellsOf(service)
      .all()
      .filter(({ record }) => record.state === 'ready')
      .map((each) => each.pendingReadMs(now) + each.passMs());
    return Math.min(Infinity, ...waits);
  }

  /** How long the limits of a service's engines let no more pass than `ahead` requests, milliseconds; 0 where one has none. */
  limitedForMs(service: string, ahead: number, now: number): number {
    if (this.limits.size === 0) return 0;
    const ready = this.cellsOf(service)
      .all()
      .map(({ record }) => record)
      .filter(({ state }) => state === 'ready');
    return this.limits.waitMs(ready, ahead, now);
  }

  /** Counts a dispatch that another allocator made, whose reading is over by now. */
  restore(request: Request, target: string, now: number): void {
    const writer = this.loads.get(target);
    if (writer === undefined || this.dispatches.has(request.id)) return;
    const writerTokens = request.tokens + request.answerTokens;
    this.occupy({ ...request, tokens: 0 }, { writer, writerTokens, helpers: [] }, now);
  }

  /** A dispatch ended. */
  ended(id: string, ending: soundness.Ending, now: number, seen: Seen = {}): void {
    const dispatch = this.dispatches.get(id);
    if (dispatch === undefined) return;
    this.dispatches.delete(id);
    this.suspects.end(id);
    const { faulty, gapMs } = seen;
    if (gapMs !== undefined) dispatch.writer.observePass(gapMs);
    dispatch.loads.forEach((each) => each.remove(id, now));
    const blamed = (faulty === undefined ? undefined : this.loads.get(faulty)) ?? dispatch.writer;
    blamed.soundness.ended(ending, now);
  }

  /** Ends all dispatches of an entry that is gone. */
  forgetEntry(entry: string, now: number): void {
    [...this.dispatches]
      .filter(([, dispatch]) => dispatch.entry === entry)
      .forEach(([id]) => this.ended(id, 'cancelled', now));
  }

  /** Most engines that one prompt is weighed on. */
  get mostAsked(): number {
    return Math.max(0, ...[...this.cells.values()].map((each) => each.mostAsked));
  }

  get size(): number {
    return this.dispatches.size;
  }

  private cellsOf(service: string): cells.Cells {
    const known = this.cells.get(service) ?? new cells.Cells();
    this.cells.set(service, known);
    return known;
  }

  private replace(made: load.Load): void {
    this.drop(made.record.id);
    this.loads.set(made.record.id, made);
    this.cellsOf(made.record.service).add(made);
  }

  private drop(id: string): void {
    const known = this.loads.get(id);
    if (known === undefined) return;
    this.loads.delete(id);
    this.cellsOf(known.record.service).remove(known);
  }

  private loadOf(engine: catalogue.Engine, record: registry.Announcement): load.Load {
    const made = new load.Load(engine, record, (place) => this.limits.isLimited(place));
    this.assumeOthers(made);
    return made;
  }

  private assumeOthers(on: load.Load): void {
    const crowding = this.crowding.get(on.record.service);
    if (crowding !== undefined) unseen.assume(on, crowding);
  }

  /** Engines that take work, and whose limits let a request pass; those that failed lately only where there are no others. */
  private usable(
    { excluded, writers, endings }: Request,
    asked: readonly load.Load[],
    now: number,
  ): load.Load[] {
    const ready = asked.filter(({ record }) => {
      const isReady = record.state === 'ready' && !excluded.includes(record.id);
      return isReady && this.limits.mayTake(record, now);
    });
    const sound = ready.filter((each) => each.soundness.isUsable(now, each.writers === 0));
    const able = sound.length > 0 ? sound : ready;
    // Whoever is bound to a target that has the request already can't go elsewhere.
    const usable = writers === undefined ? this.suspects.suitable(able, endings) : able;
    return this.chance === undefined ? usable : random.shuffled(this.chance, usable);
  }

  private occupy(
    request: Request,
    { writer, writerTokens, helpers }: Pick<planner.Plan, 'writer' | 'writerTokens' | 'helpers'>,
    now: number,
  ): void {
    const parts = helpers.length + 1;
    const value = planner.valueOf(request);
    const { id, objectiveMs, waitedMs } = request;
    const share = {
      reading: new reading.Reading(id, value, objectiveMs, now - waitedMs),
      isPart: parts > 1,
    };
    const task = { request: id, readMs: cost.readMs(writer.engine, request.tokens, parts) };
    writer.add(
      {
        ...task,
        role: 'writer',
        contextTokens: request.tokens / parts,
        memoryTokens: writerTokens,
        pauseMs: request.pauseMs,
        value,
      },
      share,
      now,
    );
    const help = {
      ...task,
      role: 'helper',
      contextTokens: 0,
      pauseMs: Infinity,
      value: 0,
    } as const;
    helpers.forEach(({ load: each, keptTokens }) => {
      each.add({ ...help, memoryTokens: keptTokens }, share, now);
    });
    const loads = [writer, ...helpers.map((each) => each.load)];
    this.suspects.begin(request, writer);
    this.dispatches.set(request.id, { entry: request.entry, loads, writer });
  }
}

function isSamePlace(a: registry.Announcement, b: registry.Announcement): boolean {
  return a.service === b.service && a.dataCentre === b.dataCentre;
}

function placementOf({ writer, helpers, firstTokenMs }: planner.Plan): Placement {
  return {
    target: writer.record.id,
    address: writer.record.address,
    helpers: helpers.map(({ load: { record }, keptTokens }) => {
      return { target: record.id, address: record.address, keptTokens };
    }),
    firstTokenMs,
  };
}
