/** Messages that entries and keepers exchange with the leader of the keepers. */
import type * as domain from '@celerydrift/domain';
import type * as registrySnapshots from './registrySnapshots';

type Announcement = domain.registry.registry.Announcement;
type SuspectReport = domain.quarantine.suspect.SuspectReport;
type RateLimit = domain.rateLimits.rateLimits.RateLimit;
type EvacuationState = domain.evacuation.evacuations.EvacuationState;
type EvacuationCommand = domain.evacuation.evacuations.EvacuationCommand;
type Endpoint = domain.rateLimits.rateLimits.Endpoint;

/** A version of the registry at one leader; versions of different leaderships aren't comparable. */
export interface RegistryVersion {
  /** Drawn at random by each leader at the start of its leadership. */
  epoch: string;
  change: number;
}

/**
 * `follow`: the poll that each entry and keeper repeats; answered once a quorum confirmed the leader. The records are
 * a keeper's registry, sent to a leader that it polls for the first time; an entry sends its own only if the leader
 * asked for them.
 */
export interface FollowRequest extends registrySnapshots.RecordBatch {
  name: string;
  role: 'entry' | 'keeper';
  /** Drawn at random by each process at its start; absent from an earlier version. */
  process?: string;
  /** Whether a planned stop of the process has begun. */
  isStopping?: boolean;
  /** Peer address of the follower, to which updates are pushed. */
  address: string;
  /** Version of the catalogue in force at the follower; also 0 without one. */
  version: number;
  /** Whether a catalogue is in force at the follower; an earlier version has none with version 0. */
  hasCatalogue?: boolean;
  /** Version of the registry in force at the follower. */
  mark: RegistryVersion;
  /** Running dispatches of an entry, sent to a leader that it polls for the first time. */
  dispatches: RunningDispatch[];
  /** Reports of suspect requests, sent to a leader that the follower polls for the first time. */
  suspects: SuspectReport[];
  /** Rate limits of targets known to the follower, sent to a leader that it polls for the first time. */
  limits: RateLimit[];
  /** Revision of the evacuations in force at the follower; absent from a daemon that doesn't know evacuations. */
  evacuationRevision?: number;
  /** Whether an entry relays messages of others now; absent from a version that doesn't know relays. */
  isRelay?: boolean;
  /** Whether an entry has lost its paths to all targets. */
  isIsolated?: boolean;
  /** Scopes of targets that an entry doesn't reach. */
  lostScopes?: readonly domain.reachability.targetPaths.Scope[];
  /** Whether the follower wants to know entries that relay its messages. */
  wantsRelays?: boolean;
  /** Id of a keeper's replica, for a leader that may need it as a voter. */
  replica: string | undefined;
  dataCentre: string;
}

/** A request and the target that decodes its answer. */
export interface RunningDispatch {
  request: domain.allocation.allocator.Request;
  target: string;
  /** Start time of the target's lifetime; absent from an entry that doesn't know it or of an earlier version. */
  bornAt?: number;
}

export interface Confirmation {
  kind: 'confirmed';
  /** Peer addresses of all voters. */
  keepers: string[];
  /** Number of entries that follow the leader; 0 while it hasn't led long enough to know all. */
  entries: number;
  /** Position of an entry among all entries that follow the leader, from 0; absent while that isn't known. */
  entryRank?: number;
  /** Whether the leader knows no targets, so that the follower should send its registry records. */
  lacksTargets: boolean;
  /** Average load per service, for an entry that loses the leader and then sees only its own dispatches. */
  crowding: domain.allocation.assumedLoad.AverageLoad[];
  /** Entries that relay messages for the follower, if it asked. */
  relays?: Relay[];
  /** The changes that the follower lacks. */
  news: FleetUpdate;
  /**
   * Members of the replica set that know evacuations, for a keeper that may lead later; absent from a leader of a
   * version that doesn't know evacuations.
   */
  evacuationReplicas?: string[];
}

/** What a follower states to the leader about its catalogue. */
export type CatalogueStatement = Pick<FollowRequest, 'version' | 'hasCatalogue'>;

/** What an entry states to the leader about its paths to targets. */
export type PathStatement = Pick<
  FollowRequest,
  'isRelay' | 'isIsolated' | 'lostScopes' | 'wantsRelays'
>;

/** An entry that sends messages of others to targets. */
export interface Relay {
  /** Peer address. */
  address: string;
  dataCentre: string;
}

/** The keeper that was asked doesn't lead; `leader` is empty if it knows none. */
export interface Redirect {
  kind: 'redirect';
  leader: string;
}

export type FollowAnswer = Confirmation | Redirect;

/** Update with the changes that a follower lacks; the records follow those of `packedRegistry`. */
export interface FleetUpdate extends registrySnapshots.RecordBatch {
  /** All evacuations, where the follower lacks the last change; a catalogue always comes with them. */
  evacuations?: EvacuationState;
  /** A newer catalogue. */
  edition: domain.catalogue.newestCatalogue.PackedCatalogue | undefined;
  /** The registry version after the records. */
  mark: RegistryVersion;
  /**
   * The registry version that the records build on; undefined if the update has a whole registry in `packedRegistry`.
   */
  since: RegistryVersion | undefined;
  /** Reports of suspect requests after the change. */
  suspects: SuspectReport[];
  /** Rate limits of targets that changed or ended. */
  limits: RateLimit[];
  /** A registry snapshot with all suspects and rate limits, packed. */
  packedRegistry?: Uint8Array;
}

/** Acknowledges an update with the registry version that the follower now has. */
export interface UpdateAck {
  mark: RegistryVersion;
}

/** A target lifetime that crashed while it ran a request; one for each fingerprint that may be the cause. */
export interface TargetCrash {
  /** Fingerprint of the request, or of a part of its prompt. */
  content: string;
  lifetime: domain.quarantine.crashedLifetimes.Lifetime;
  /** Whether that run was a canary run, allowed while this fingerprint was already suspect. */
  isTrial: boolean;
  /**
   * Whether another VM didn't reach the target either, or others of its service responded to the entry meanwhile; absent
   * from an earlier version.
   */
  isConfirmed?: boolean;
  /**
   * Time from the crash's detection, and from sending the request, to this message, in milliseconds; an entry that
   * was cut off reports later.
   */
  agoMs: number;
  sentAgoMs: number;
}

/** `blame`: crashes of targets that ran an entry's requests. */
export interface CrashReport {
  /** The entry that reports; absent from an earlier version. */
  entry?: string;
  ended: TargetCrash[];
}

/** The leader's current reports of the named requests, which replace what the entry recorded by itself. */
export type CrashReportAnswer = { kind: 'taken'; reports: SuspectReport[] } | Redirect;

/** `permit`: asks whether a suspect request may run now. */
export interface PermitRequest {
  /** The first of its fingerprints that are suspect. */
  content: string;
  /** All fingerprints of the request that may be suspect; absent from an earlier version. */
  fingerprints?: readonly string[];
  /** Id of the request, and the entry that holds it. */
  id: string;
  entry: string;
  service: string;
  /** Targets that the request was sent to before. */
  excluded: readonly string[];
}

export type PermitAnswer =
  /**
   * It runs as the only request with its fingerprint. `endings` is the number of crashes counted against it, 0 if the
   * leader suspects nothing. `target` is where it must run; undefined for any target.
   */
  | { kind: 'granted'; endings: number; target: string | undefined }
  /** Another request with one of its fingerprints is running, or every target runs another suspect. */
  | { kind: 'busy' }
  /** `culprit` is the fingerprint in quarantine; absent from an earlier version. */
  | { kind: 'quarantined'; culprit?: string }
  | Redirect;

/** `trialEnded`: a canary run has ended, or a run has proved a suspicion wrong. */
export interface CanaryEnded {
  /** Fingerprint of the request, or of a part of its prompt. */
  content: string;
  id: string;
  /** Whether the request got its complete answer; for a part, whether its answer has begun. */
  ranWhole: boolean;
  /** Time from sending the request to this message, milliseconds; only for a part. */
  sentAgoMs?: number;
}

/** The leader has applied the message. */
export type AppliedAnswer = { kind: 'taken' } | Redirect;

/** `place`: a request that needs an engine. */
export type PlaceRequest = Omit<domain.allocation.allocator.Request, 'entry'> & {
  entry: string;
  /** How long the entry waits for a placement, in milliseconds. */
  patienceMs: number;
  organisation?: string;
  /** Urgency class; 0 is the most urgent. Absent where all requests of the service are of one class. */
  urgency?: number;
  /** Fingerprint of the request, by which the leader recognises a caller that returns after a refusal. */
  content?: string;
  /**
   * Time until the caller leaves, in milliseconds. A leader in mode `adaptive` may answer that late instead of within
   * `patienceMs`.
   */
  leavesInMs?: number;
  /** Time that the caller has left for this request and its return after a refusal, in milliseconds. */
  timeLeftMs?: number;
};

export type PlaceAnswer =
  | { kind: 'placed'; placement: domain.allocation.allocator.Placement }
  | {
      kind: 'noPlace';
      retryAfterMs: number;
      /** Absent where all engines are full or gone, and from a leader that doesn't know evacuations. */
      reason?: 'evacuated';
    }
  | Redirect;

export interface FinishedDispatch {
  id: string;
  /** Outcome of the dispatch. */
  ending: domain.allocation.targetHealth.DispatchOutcome;
  /** Id of the target that caused the failure, if it isn't the one that got the request. */
  faulty?: string;
  /** Usual inter-token gap of the answer, in milliseconds. */
  gapMs?: number;
  /** Id of the target that got the request. */
  target: string;
  /** Start time of the target's lifetime; absent from an entry that doesn't know it or of an earlier version. */
  bornAt?: number;
}

/** `ended`: finished dispatches of an entry, collected for a short time and sent together. */
export interface FinishedDispatches {
  dispatches: FinishedDispatch[];
  /** What other VMs found out about targets that an earlier dispatch of this entry didn't reach. */
  verdicts?: TargetVerdict[];
}

/** Whether a target that an entry didn't reach is up. */
export interface TargetVerdict {
  target: string;
  bornAt?: number;
  isAlive: boolean;
}

/**
 * Number of messages sent to a limited target without a grant: those that couldn't wait, or were sent without a
 * leader.
 */
export interface UngrantedMessages extends Endpoint {
  count: number;
}

/** `limited`: rate limits that an entry's targets reported or no longer report, and the messages that it sent them. */
export interface LimitReport {
  limits: RateLimit[];
  /** Messages that the entry sent without a grant. */
  spent: UngrantedMessages[];
  /** Targets that answered that they are cold. */
  cold?: ColdAnswer[];
}

/** The target at an address answered that it remains cold. */
export interface ColdAnswer extends Endpoint {
  coldForMs: number;
}

/** `grant`: asks whether one of several limited targets may be sent a message now. */
export interface GrantRequest {
  /** Addresses of the targets. */
  places: readonly Endpoint[];
  /**
   * What the message is. A liveness probe (`check`) may be granted while a request has to wait; one that only shows
   * whether a path is back (`path`) is granted rarely, and a leader of an older program treats it like a request.
   */
  purpose: 'request' | 'check' | 'path';
}

export type GrantAnswer =
  | { kind: 'granted'; place: Endpoint }
  /** None of them admits another message before this time, in milliseconds. */
  | { kind: 'wait'; waitMs: number }
  | Redirect;

/** `announced`: announcements of targets received by the sending keeper. */
export interface AnnouncementBatch {
  records: Announcement[];
}

/** `departed`: a target lifetime that ended, as the target announced to the sending keeper. */
export interface Departure {
  id: string;
  /**
   * Start time of the lifetime that ended, in Unix milliseconds. If the target didn't report it, the one that the leader
   * knew when the target's call arrived; undefined if that isn't known either.
   */
  bornAt: number | undefined;
  /** Whether the leader knew no lifetime of the target then. */
  isUnknown?: boolean;
}

/** `lifetime`: asks for the present lifetime of a target. */
export interface LifetimeRequest {
  id: string;
}

export type LifetimeAnswer =
  /** `bornAt` is undefined for a target that the leader doesn't know. */
  { kind: 'lifetime'; bornAt: number | undefined } | { kind: 'unavailable'; detail: string };

/** `leaving`: target lifetimes that announced, in answers to an entry, that they drain. */
export interface DrainingReport {
  lifetimes: domain.quarantine.crashedLifetimes.Lifetime[];
}

/** `submit`: a catalogue forwarded by the keeper that received it from an operator. */
export interface SubmitRequest {
  edition: domain.catalogue.newestCatalogue.PackedCatalogue;
}

export type SubmitAnswer =
  { kind: 'accepted'; version: number } | { kind: 'unavailable'; detail: string };

/** `newest`: the newest catalogue at the time of the call. */
export type NewestAnswer =
  | { kind: 'newest'; edition: domain.catalogue.newestCatalogue.PackedCatalogue | undefined }
  | { kind: 'unavailable'; detail: string };

/**
 * Place of an order among those that a leader takes: its term, and the number of orders that it had taken in it when a
 * keeper received the order.
 */
export interface OrderPosition {
  term: number;
  taken: number;
}

/** `orderPosition`: the position of an order that the calling keeper has just received. */
export type OrderPositionAnswer =
  | { kind: 'position'; position: OrderPosition | undefined }
  | { kind: 'unavailable'; detail: string };

/** `evacuate`: an order forwarded by the keeper that received it from an operator. */
export interface EvacuateRequest {
  command: EvacuationCommand;
  /** Absent from an earlier version. */
  position?: OrderPosition;
}

/** `revision` is the revision of the evacuations that include the order. */
export type EvacuateAnswer =
  { kind: 'accepted'; revision: number } | { kind: 'unavailable'; detail: string };

/** The evacuations and the entries at which they are in force, as operators see them. */
export interface EvacuationListing extends EvacuationState {
  inForce: {
    entries: number;
    /** Number of entries that follow the leader. */
    of: number;
    /** Names of the entries that lack the last change. */
    behind: string[];
  };
}

/** `evacuations`: the listing at the time of the call. */
export type EvacuationsAnswer =
  { kind: 'listed'; listing: EvacuationListing } | { kind: 'unavailable'; detail: string };

export const NO_VERSION: RegistryVersion = { epoch: '', change: 0 };

/** How a follower states the version of its catalogue, if there is one. */
export function catalogueStatementOf(version: number | undefined): CatalogueStatement {
  return { version: version ?? 0, hasCatalogue: version !== undefined };
}

/** The version of a follower's catalogue; undefined without one. */
export function catalogueVersionOf({
  version,
  hasCatalogue = version > 0,
}: CatalogueStatement): number | undefined {
  return hasCatalogue ? version : undefined;
}

/** Whether a version contains all changes of another one of the same leadership. */
export function includes(a: RegistryVersion, b: RegistryVersion): boolean {
  return a.epoch === b.epoch && a.change >= b.change;
}

export function isSameVersion(a: RegistryVersion, b: RegistryVersion): boolean {
  return a.epoch === b.epoch && a.change === b.change;
}
