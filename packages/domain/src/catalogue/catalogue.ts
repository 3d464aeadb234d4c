/**
 * The catalogue: the whole-document form of a fleet's settings. Where the tree of subtrees lets each team
 * change its own part, a catalogue is replaced as one document with a rising version, and says which
 * routes lead to which services, who may use them, and how the engines behind a service compute.
 */

/** `safe` may run again, `unsafe` at most once, `streaming` only where it can resume. */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

/** Part of a route's requests that a service gets. */
export interface Share {
  service: string;
  weight: number;
}

export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Longest time that a caller may be kept waiting, milliseconds. */
  timeoutMs: number;
  /** Latency objective up to the first byte, milliseconds. */
  objectiveMs: number;
  /** 0 is the most urgent. */
  priority: number;
  shares: readonly Share[];
  /** Most targets that one request may be sent to. */
  maxAttempts: number;
  /** Whether callers need no key. */
  isPublic: boolean;
  /** Whether a broken stream may go on at another target after its last whole event. */
  isResumable: boolean;
  /** Longest pause between events of an answer that is on time, milliseconds. */
  pauseMs: number;
}

/** How the engines of a service compute; the allocator predicts from it. */
export interface Engine {
  /** Requests that one engine runs at once. */
  slots: number;
  /** Tokens that fit into one engine's memory. */
  memoryTokens: number;
  /** Steps of a pass in which at least one request writes. */
  stepsPerPass: number;
  stepMs: number;
  /** Added to a step for each writing request. */
  writerStepMs: number;
  /** Added to a step for each thousand tokens of context of a writing request. */
  contextStepMs: number;
  readTokensPerMs: number;
  /** Milliseconds for a million pairs of a prompt token and an earlier one. */
  pairMsPerMillion: number;
  /** Most prompt tokens read in one step. */
  chunkTokens: number;
  /** Added to each step of a request whose prompt was read by several engines. */
  hopMs: number;
  /** Mean answer in tokens, for requests that say nothing of theirs. */
  usualAnswerTokens: number;
}

export interface Service {
  name: string;
  healthPath: string;
  /** Connections that one target takes from all callers together. */
  maxConnections: number;
  engine: Engine | undefined;
}

export interface Organisation {
  name: string;
  keys: readonly string[];
  /** Goes before the priority of routes. */
  priority: number;
}

/** Bounds on what a caller may send. */
export interface Limits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

export interface Catalogue {
  version: number;
  routes: readonly Route[];
  services: readonly Service[];
  /** Undefined where callers need no keys at all. */
  organisations: readonly Organisation[] | undefined;
  limits: Limits;
}

/** Why a catalogue can't be put in force. */
export type Fault = 'unknownService' | 'samePlace' | 'noWeight' | 'noTimeout' | 'sharedKey';

export interface Problem {
  fault: Fault;
  /** The route or organisation at fault. */
  subject: string;
}

function routeProblems(route: Route, services: ReadonlySet<string>): Problem[] {
  const problems: Problem[] = [];
  const hasUnknownService = route.shares.some(({ service }) => !services.has(service));
  if (hasUnknownService || route.shares.length === 0) {
    problems.push({ fault: 'unknownService', subject: route.name });
  }
  const weight = route.shares.reduce((sum, share) => sum + share.weight, 0);
  if (!(weight > 0)) problems.push({ fault: 'noWeight', subject: route.name });
  if (!(route.timeoutMs > 0)) problems.push({ fault: 'noTimeout', subject: route.name });
  return problems;
}

function firstDuplicate<T>(items: readonly T[], keyOf: (item: T) => string): T | undefined {
  const seen = new Set<string>();
  return items.find((item) => {
    const key = keyOf(item);
    if (seen.has(key)) return true;
    seen.add(key);
    return false;
  });
}

/** Everything that keeps a catalogue from being put in force. */
export function problemsOf({ routes, services, organisations = [] }: Catalogue): Problem[] {
  const names = new Set(services.map(({ name }) => name));
  const problems = routes.flatMap((route) => routeProblems(route, names));
  const duplicate = firstDuplicate(routes, ({ host, pathPrefix }) => `${host}\n${pathPrefix}`);
  if (duplicate !== undefined) problems.push({ fault: 'samePlace', subject: duplicate.name });
  const keyOwners = organisations.flatMap(({ name, keys }) =>
    [...new Set(keys)].map((key) => ({ name, key })),
  );
  const shared = firstDuplicate(keyOwners, ({ key }) => key);
  if (shared !== undefined) problems.push({ fault: 'sharedKey', subject: shared.name });
  return problems;
}
