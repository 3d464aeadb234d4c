/**
 * Places every prompt of a service on its engines with one view of all dispatches. Entries request
 * a placement and report when the dispatch ends; the allocator tracks the load of each engine.
 * Losing the allocator loses only that load: until another takes over, entries place requests by
 * their own dispatches.
 */
import type * as catalogue from '../catalogue/catalogue';
import * as rateLimits from '../rateLimits/rateLimits';
import type * as registry from '../registry/registry';
import * as random from '../shared/random';
import * as cells from './cells';
import * as cost from './cost';
import * as isolation from './isolation';
import * as load from './load';
import * as locality from './locality';
import * as planner from './planner';
import type * as prompts from './prompt';
import * as prefills from './prefill';
import type * as prefillQueue from './prefillQueue';
import type * as targetHealth from './targetHealth';
import * as assumedLoad from './assumedLoad';
import * as weights from './weights';

export interface Request extends prompts.Prompt {
  id: string;
  /** The entry that requests the placement; its dispatches end when it is gone. */
  entry: string;
  service: string;
  /** Targets that the request was already sent to. */
  excluded: readonly string[];
  /**
   * Number of targets that crashed while running a request with this fingerprint; undefined if
   * none did.
   */
  endings?: number;
}

/** A prefill helper. */
export interface Helper {
  target: string;
  /** HOST:PORT. */
  address: string;
  /** Tokens of memory to reserve there for the prompt; 0 where it only prefills. */
  keptTokens: number;
}

export interface Placement {
  /** Id of the target that decodes the answer. */
  target: string;
  /** HOST:PORT of that target. */
  address: string;
  helpers: Helper[];
  firstTokenMs: number;
}

export type PlacementResult =
  | { kind: 'placed'; placement: Placement }
  | Exclude<planner.Decision, { kind: 'begin' }>
  /** All engines that the request may use are in evacuated data centres; waiting is in vain. */
  | { kind: 'evacuated' };

/** The target of a dispatch; `bornAt` is undefined where the entry doesn't report it. */
export interface DispatchTarget {
  id: string;
  bornAt?: number;
}

/** What an entry observed of a dispatch beside its outcome. */
export interface DispatchObservations {
  /** The target that made it fail, if not the decoder. */
  faulty?: string;
  /** Typical inter-token gap of its answer, milliseconds. */
  gapMs?: number;
}

/**
 * Fewest engines of the caller's data centre that a plan may be limited to without comparing it
 * with one among all, and how many of them there must be for each useful prefill part. A plan
 * computes the prompt's cost on every candidate: with 150 engines, the burst of requests after a
 * total outage took a new leader 2 ms per prompt, and it was unresponsive for half a second at a
 * time. With 30 of them a short prompt takes 0.08 ms instead of 0.35, and one of 45k tokens 0.5
 * instead of 1.7.
 */
const MIN_NEARBY_ENGINES = 24;
const NEARBY_ENGINES_PER_PART = 2;

/**
 * Largest penalty of a plan within the caller's data centre, as a fraction of the request's value.
 * Above it the engines there are busier than usual, and engines elsewhere are considered too.
 */
const MAX_NEARBY_PENALTY_FRACTION = 0.05;

/** A target that gets no requests for some time, as a dispatch to it failed. */
export interface Ejection {
  target: string;
  /** Time without requests, milliseconds. */
  forMs: number;
  /** The entry that reported the failure. */
  reportedBy: string;
}

interface Dispatch {
  entry: string;
  loads: load.Load[];
  decoder: load.Load;
}

export class Allocator {
  private readonly loads = new Map<string, load.Load>();

  /** The loads by service. */
  private readonly cells = new Map<string, cells.Cells>();

  /** Announcements of all targets that aren't gone, of all services. */
  private readonly records = new Map<string, registry.Announcement>();

  private readonly planners = new Map<string, planner.Planner>();

  private readonly dispatches = new Map<string, Dispatch>();

  /** Running requests that are suspected of crashing their target. */
  private readonly suspects = new isolation.SuspectIsolation();

  private engines = new Map<string, catalogue.Engine>();

  /** Average load reported by the leader, by service; assumed on each engine. */
  private readonly averageLoads = new Map<string, assumedLoad.AverageLoad>();

  private readonly locality = new locality.Locality();

  private isEvacuated: (dataCentre: string) => boolean = () => false;

  /**
   * `randomSource` is for an allocator that sees only part of all dispatches: it shuffles the
   * candidates, so that ties are broken randomly. Otherwise all entries that lost the leader chose
   * the same few engines for every prompt.
   */
  constructor(
    private readonly randomSource?: random.Random,
    private readonly planWeights: weights.Weights = weights.WEIGHTS,
    private readonly limits = new rateLimits.RateLimits(),
  ) {}

  /**
   * Applies the engines of a new catalogue; the load of an engine whose figures changed starts
   * empty.
   */
  setServices(services: readonly catalogue.Service[]): void {
    const before = this.engines;
    this.engines = new Map(
      services.flatMap(({ name, engine }) => (engine === undefined ? [] : [[name, engine]])),
    );
    const changed = [...this.engines].filter(([name, engine]) => {
      return JSON.stringify(before.get(name)) !== JSON.stringify(engine);
    });
    changed.forEach(([name, engine]) => {
      this.planners.set(name, new planner.Planner(engine, this.planWeights));
      this.records.forEach((record) => {
        if (record.service === name) this.replaceLoad(this.createLoad(engine, record));
      });
    });
  }

  /**
   * Applies an announcement of a target, which may arrive before the catalogue that defines its
   * service.
   */
  observe(record: registry.Announcement): void {
    if (record.state === 'gone') {
      this.records.delete(record.id);
      this.removeLoad(record.id);
      return;
    }
    this.records.set(record.id, record);
    const current = this.loads.get(record.id);
    const engine = this.engines.get(record.service);
    if (current !== undefined && isContinued(current.record, record)) current.record = record;
    else if (engine !== undefined) this.replaceLoad(this.createLoad(engine, record));
  }

  /**
   * Excludes the engines of evacuated data centres from new placements; their running dispatches
   * stay counted. The function is called for each decision, so it may change its answers.
   */
  setEvacuated(isEvacuated: (dataCentre: string) => boolean): void {
    this.isEvacuated = isEvacuated;
  }

  /** Average load of the engines of each service, for allocators that see only part of it. */
  averageLoadByService(): assumedLoad.AverageLoad[] {
    return [...this.engines.keys()].map((name) => {
      return assumedLoad.averageLoadOf(name, this.openEngines(name));
    });
  }

  /** Assumes the given average load on each engine. */
  assumeAverageLoads(averages: readonly assumedLoad.AverageLoad[]): void {
    averages.forEach((each) => this.averageLoads.set(each.service, each));
    this.loads.forEach((each) => this.applyAverageLoad(each));
  }

  /** Places the request at once; undefined where every engine is full. */
  place(request: Request, now: number): Placement | undefined {
    const result = this.choose(request, now, false);
    return result.kind === 'placed' ? result.placement : undefined;
  }

  /** Places the request or, with `mayWait`, returns the time after which to try again. */
  choose(request: Request, now: number, mayWait: boolean): PlacementResult {
    const enginePlanner = this.planners.get(request.service);
    if (enginePlanner === undefined) return { kind: 'full' };
    const scope = this.candidateScope(request);
    const usable = this.eligibleEngines(request, scope.all, now);
    const usableScope = { ...scope, all: usable };
    const decision = this.decide(enginePlanner, request, usableScope, now, mayWait);
    if (decision.kind === 'full' && this.isEvacuatedFor(request)) return { kind: 'evacuated' };
    if (decision.kind !== 'begin') return decision;
    const { plan } = decision;
    this.recordDispatch(request, plan, now);
    [plan.decoder, ...plan.helpers.map((each) => each.load)].forEach(({ record }) => {
      this.limits.countSent(record, 1, now);
    });
    return { kind: 'placed', placement: placementOf(plan) };
  }

  /**
   * Candidate engines: all of a small service, otherwise those of some cells. Always includes the
   * engines that the request is bound to (`writers`).
   */
  private candidateScope({ service, dataCentre, writers = [] }: Request): cells.Scope {
    const scope = this.cellsOf(service).scope(dataCentre, this.isEvacuated);
    const bound = writers.flatMap((id) => this.loads.get(id) ?? []);
    return { ...scope, all: [...new Set([...scope.all, ...bound])] };
  }

  /**
   * Decides among the engines of the first cell or, without cells, of the caller's data centre; among
   * all if the plan there costs time. Packing prompts together saves engines and may cost time, so a
   * plan there is made again without packing before a prompt leaves.
   */
  private decide(
    enginePlanner: planner.Planner,
    request: Request,
    { first, all }: cells.Scope,
    now: number,
    mayWait: boolean,
  ): planner.Decision {
    const ofFirst = new Set(first);
    const nearby = all.filter((each) => {
      return first === undefined
        ? each.record.dataCentre === request.dataCentre
        : ofFirst.has(each);
    });
    const decideAmongAll = (): planner.Decision => {
      return enginePlanner.decide(request, all, now, { mayWait });
    };
    if (nearby.length === all.length) return decideAmongAll();
    const minForParts = NEARBY_ENGINES_PER_PART * enginePlanner.maxUsefulParts(request);
    // A cell has enough engines for any prompt.
    const enough =
      first === undefined ? Math.max(MIN_NEARBY_ENGINES, minForParts) : MIN_NEARBY_ENGINES;
    const isFew = nearby.length < enough;
    const isTooFew = first !== undefined || nearby.length < locality.MIN_ENGINES;
    if (isFew && isTooFew) return decideAmongAll();
    const decideNearby = (mayPack: boolean): planner.Decision => {
      return enginePlanner.decide(request, nearby, now, { mayPack });
    };
    if (isFew) return this.decideNearFew(request, decideNearby, decideAmongAll());
    const isGood = (decision: planner.Decision): boolean => {
      if (decision.kind !== 'begin') return false;
      return decision.plan.penalty <= MAX_NEARBY_PENALTY_FRACTION * planner.valueOf(request);
    };
    const packed = decideNearby(true);
    if (isGood(packed)) return packed;
    const spread = decideNearby(false);
    return isGood(spread) ? spread : decideAmongAll();
  }

  /** Chooses between the decision among few engines nearby and the one among all. */
  private decideNearFew(
    request: Request,
    decideNearby: (mayPack: boolean) => planner.Decision,
    amongAll: planner.Decision,
  ): planner.Decision {
    // Where no plan can begin now, waiting sends nothing elsewhere, so the stream doesn't spill over.
    if (amongAll.kind !== 'begin') return amongAll;
    const excessOf = (decision: planner.Decision): number => {
      if (decision.kind !== 'begin') return Infinity;
      return (decision.plan.penalty - amongAll.plan.penalty) / planner.valueOf(request);
    };
    const stream = JSON.stringify([request.service, request.dataCentre, request.objectiveMs]);
    const packed = decideNearby(true);
    const isGood = excessOf(packed) <= this.locality.maxExcess(stream);
    const nearby = isGood ? packed : decideNearby(false);
    return this.locality.staysNearby(stream, excessOf(nearby)) ? nearby : amongAll;
  }

  /**
   * Milliseconds until the least busy engine of a service has prefilled its queue; infinite without
   * engines. A request for which all engines were full can be placed then, unless another takes
   * the slot.
   */
  nextAvailableMs(service: string, now: number): number {
    const waits = this.openEngines(service).map(
      (each) => each.pendingPrefillMs(now) + each.engineStepMs(),
    );
    return Math.min(Infinity, ...waits);
  }

  /**
   * Milliseconds for which the rate limits of a service's engines admit no more than `ahead`
   * requests; 0 where an engine has no limit.
   */
  limitedForMs(service: string, ahead: number, now: number): number {
    if (this.limits.size === 0) return 0;
    const records = this.openEngines(service).map(({ record }) => record);
    return this.limits.waitMs(records, ahead, now);
  }

  /** Shortest prefill time of a prompt, divided among as many engines as is useful, in milliseconds. */
  minPrefillMs({ service, tokens }: Pick<Request, 'service' | 'tokens'>): number {
    return this.planners.get(service)?.minPrefillMs(tokens) ?? 0;
  }

  /**
   * Restores a dispatch that another allocator made, assuming that its prefill is over. One at a
   * former lifetime of the target ended with it.
   */
  restore(request: Request, { id, bornAt }: DispatchTarget, now: number): void {
    const decoder = this.loads.get(id);
    if (decoder === undefined || this.dispatches.has(request.id)) return;
    if (bornAt !== undefined && bornAt !== decoder.record.bornAt) return;
    const decoderTokens = request.tokens + request.answerTokens;
    this.recordDispatch({ ...request, tokens: 0 }, { decoder, decoderTokens, helpers: [] }, now);
  }

  /** Records the end of a dispatch; returns the ejection that follows from it, if any. */
  endDispatch(
    id: string,
    outcome: targetHealth.DispatchOutcome,
    now: number,
    observations: DispatchObservations = {},
  ): Ejection | undefined {
    const dispatch = this.dispatches.get(id);
    if (dispatch === undefined) return undefined;
    this.dispatches.delete(id);
    this.suspects.end(id);
    const { faulty, gapMs } = observations;
    if (gapMs !== undefined) dispatch.decoder.observeStep(gapMs);
    dispatch.loads.forEach((each) => each.remove(id, now));
    // The loads of the dispatch are those of the lifetimes that it was placed on.
    const responsible =
      dispatch.loads.find(({ record }) => record.id === faulty) ??
      (faulty === undefined ? undefined : this.loads.get(faulty)) ??
      dispatch.decoder;
    const forMs = responsible.health.recordOutcome(outcome, now);
    if (forMs === 0) return undefined;
    return { target: responsible.record.id, forMs, reportedBy: dispatch.entry };
  }

  /** The entry that a running dispatch belongs to. */
  entryOf(id: string): string | undefined {
    return this.dispatches.get(id)?.entry;
  }

  /** A target was ejected, but another VM reaches it. */
  retractFailure(target: string, now: number): void {
    this.loads.get(target)?.health.retractFailure(now);
  }

  /** Two VMs don't reach a target. */
  recordUnreachable(target: string, now: number): void {
    this.loads.get(target)?.health.recordOutcome('unreachable', now);
  }

  /** Ends all dispatches of an entry that is gone, and returns their ids. */
  forgetEntry(entry: string, now: number): string[] {
    const ended = [...this.dispatches]
      .filter(([, dispatch]) => dispatch.entry === entry)
      .map(([id]) => id);
    ended.forEach((id) => this.endDispatch(id, 'cancelled', now));
    return ended;
  }

  /** Most engines that one placement considers. */
  get maxCandidates(): number {
    return Math.max(0, ...[...this.cells.values()].map((each) => each.maxCandidates));
  }

  get size(): number {
    return this.dispatches.size;
  }

  private cellsOf(service: string): cells.Cells {
    const existing = this.cells.get(service) ?? new cells.Cells();
    this.cells.set(service, existing);
    return existing;
  }

  private replaceLoad(replacement: load.Load): void {
    this.removeLoad(replacement.record.id);
    this.loads.set(replacement.record.id, replacement);
    this.cellsOf(replacement.record.service).add(replacement);
  }

  private removeLoad(id: string): void {
    const removed = this.loads.get(id);
    if (removed === undefined) return;
    this.loads.delete(id);
    this.cellsOf(removed.record.service).remove(removed);
  }

  private createLoad(engine: catalogue.Engine, record: registry.Announcement): load.Load {
    const created = new load.Load(engine, record, this.limits);
    this.applyAverageLoad(created);
    return created;
  }

  private applyAverageLoad(engineLoad: load.Load): void {
    const averageLoad = this.averageLoads.get(engineLoad.record.service);
    if (averageLoad !== undefined) assumedLoad.applyAssumedLoad(engineLoad, averageLoad);
  }

  /** Ready engines whose rate limits admit a request; ejected ones only if there are no others. */
  private eligibleEngines(
    { excluded, writers, endings }: Request,
    candidates: readonly load.Load[],
    now: number,
  ): load.Load[] {
    // During an evacuation an entry excludes hundreds of targets.
    const excludedIds = new Set(excluded);
    const ready = candidates.filter(({ record }) => {
      const isOpen = this.isOpen(record) && !excludedIds.has(record.id);
      return isOpen && this.limits.maySend(record, now);
    });
    const healthy = ready.filter((each) => each.health.isUsable(now, each.decodingCount === 0));
    const available = healthy.length > 0 ? healthy : ready;
    // A request that is bound to targets can't go elsewhere, as they already hold its state.
    const eligible =
      writers === undefined ? this.suspects.eligibleEngines(available, endings) : available;
    return this.randomSource === undefined
      ? eligible
      : random.shuffled(this.randomSource, eligible);
  }

  /** Whether a target takes new requests: it is ready, and its data centre isn't evacuated. */
  private isOpen({ state, dataCentre }: registry.Announcement): boolean {
    return state === 'ready' && !this.isEvacuated(dataCentre);
  }

  private openEngines(service: string): load.Load[] {
    return this.cellsOf(service)
      .all()
      .filter(({ record }) => this.isOpen(record));
  }

  /** Whether evacuations leave the request no engine, though some are ready. */
  private isEvacuatedFor({ service, excluded, writers }: Request): boolean {
    const ready = this.cellsOf(service)
      .all()
      .filter(({ record }) => {
        return record.state === 'ready' && writers?.includes(record.id) !== false;
      });
    if (!ready.some(({ record }) => this.isEvacuated(record.dataCentre))) return false;
    return !ready.some(({ record }) => this.isOpen(record) && !excluded.includes(record.id));
  }

  private recordDispatch(
    request: Request,
    {
      decoder,
      decoderTokens,
      helpers,
    }: Pick<planner.Plan, 'decoder' | 'decoderTokens' | 'helpers'>,
    now: number,
  ): void {
    const parts = helpers.length + 1;
    const value = planner.valueOf(request);
    const { id, objectiveMs, waitedMs } = request;
    const part: Omit<prefillQueue.PrefillPart, 'leftMs'> = {
      prefill: new prefills.Prefill(id, value, objectiveMs, now - waitedMs),
      isPart: parts > 1,
    };
    const task = { request: id, prefillMs: cost.prefillMs(decoder.engine, request.tokens, parts) };
    decoder.add(
      {
        ...task,
        role: 'decoder',
        contextTokens: request.tokens / parts,
        memoryTokens: decoderTokens,
        maxGapMs: request.pauseMs,
        value,
      },
      part,
      now,
    );
    const help = {
      ...task,
      role: 'helper',
      contextTokens: 0,
      maxGapMs: Infinity,
      value: 0,
    } as const;
    helpers.forEach(({ load: each, keptTokens }) => {
      each.add({ ...help, memoryTokens: keptTokens }, part, now);
    });
    const loads = [decoder, ...helpers.map((each) => each.load)];
    this.suspects.begin(request, decoder);
    this.dispatches.set(request.id, { entry: request.entry, loads, decoder });
  }
}

/** Whether an announcement continues the lifetime that has the load, at the same place. */
function isContinued(a: registry.Announcement, b: registry.Announcement): boolean {
  return a.bornAt === b.bornAt && a.service === b.service && a.dataCentre === b.dataCentre;
}

function placementOf({ decoder, helpers, firstTokenMs }: planner.Plan): Placement {
  return {
    target: decoder.record.id,
    address: decoder.record.address,
    helpers: helpers.map(({ load: { record }, keptTokens }) => {
      return { target: record.id, address: record.address, keptTokens };
    }),
    firstTokenMs,
  };
}
