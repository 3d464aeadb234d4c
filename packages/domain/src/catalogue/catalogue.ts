/**
 * The catalogue: the settings of a fleet as a single document. While teams change their own
 * subtrees in the settings tree, a catalogue is replaced as a whole with a rising version. It
 * defines which routes lead to which services, who may use them, and how the engines behind a
 * service perform.
 */
import * as hosts from './hosts';

/**
 * `safe` requests may be repeated, `unsafe` ones run at most once, and `streaming` ones are
 * repeated only where they can resume.
 */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

/** The share of a route's requests that goes to a service. */
export interface Share {
  service: string;
  weight: number;
}

export interface Route {
  name: string;
  host: string;
  /** Starts and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Maximum time that a caller waits, milliseconds. */
  timeoutMs: number;
  /** Latency objective for the first byte, milliseconds. */
  objectiveMs: number;
  /** 0 is the most urgent. */
  priority: number;
  shares: readonly Share[];
  /** Maximum number of targets that one request is sent to. */
  maxAttempts: number;
  /** Whether callers need no key. */
  isPublic: boolean;
  /** Whether a broken stream may be resumed at another target after its last complete event. */
  isResumable: boolean;
  /** Maximum inter-token gap of a stream that is on time, milliseconds. */
  pauseMs: number;
}

/** Performance model of a service's engines, used by the allocator for predictions. */
export interface Engine {
  /** Requests that one engine runs concurrently. */
  slots: number;
  /** Memory of one engine, in tokens. */
  memoryTokens: number;
  /** Decode iterations in an engine step in which at least one request decodes. */
  stepsPerPass: number;
  /** Fixed part of the duration of an iteration. */
  stepMs: number;
  /** Added to an iteration for each decoding request. */
  writerStepMs: number;
  /** Added to an iteration for each thousand context tokens of a decoding request. */
  contextStepMs: number;
  /** Prefill rate without the cost of attention. */
  readTokensPerMs: number;
  /** Attention cost: milliseconds for a million pairs of a prompt token and an earlier one. */
  pairMsPerMillion: number;
  /** Maximum number of prompt tokens prefilled in one iteration. */
  chunkTokens: number;
  /** Added to each iteration of a request whose prompt was prefilled by several engines. */
  hopMs: number;
  /** Mean length of an answer in tokens, for requests without a length of their own. */
  usualAnswerTokens: number;
}

export interface Service {
  name: string;
  healthPath: string;
  /** Connections that one target accepts from all callers together. */
  maxConnections: number;
  engine: Engine | undefined;
  /** How long a target is cold after its start, milliseconds. */
  coldStartMs?: number;
  /** Requests per second that one cold target handles; 0 or undefined where it needs no limit. */
  coldPerSecond?: number;
}

export interface Organisation {
  name: string;
  keys: readonly string[];
  /** Takes precedence over the priority of routes. */
  priority: number;
}

/** Limits for requests of callers. */
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
  /** Undefined where callers need no keys. */
  organisations: readonly Organisation[] | undefined;
  limits: Limits;
}

/** Why a catalogue can't be activated. */
export type Fault = 'unknownService' | 'samePlace' | 'noWeight' | 'noTimeout' | 'sharedKey';

export interface Problem {
  fault: Fault;
  /** The invalid route or organisation. */
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

/** All problems that prevent the activation of a catalogue. */
export function problemsOf({ routes, services, organisations = [] }: Catalogue): Problem[] {
  const names = new Set(services.map(({ name }) => name));
  const problems = routes.flatMap((route) => routeProblems(route, names));
  const duplicate = firstDuplicate(
    routes,
    ({ host, pathPrefix }) => `${hosts.canonicalName(host)}\n${pathPrefix}`,
  );
  if (duplicate !== undefined) problems.push({ fault: 'samePlace', subject: duplicate.name });
  const keyOwners = organisations.flatMap(({ name, keys }) =>
    [...new Set(keys)].map((key) => ({ name, key })),
  );
  const shared = firstDuplicate(keyOwners, ({ key }) => key);
  if (shared !== undefined) problems.push({ fault: 'sharedKey', subject: shared.name });
  return problems;
}
