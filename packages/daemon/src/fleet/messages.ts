/** What entries and keepers say to the leader of the keepers, and it to them. */
import type * as domain from '@celerydrift/domain';
import type * as registryCopies from './registryCopies';

type Announcement = domain.registry.registry.Announcement;
type SuspectReport = domain.quarantine.suspect.Report;
type RateLimit = domain.rateLimits.rateLimits.RateLimit;
type LimitedPlace = domain.rateLimits.rateLimits.Place;

/** A state of the registry at one leader; numbers of different leaderships don't compare. */
export interface RegistryVersion {
  /** Drawn by each leader at the beginning of its leadership. */
  epoch: string;
  change: number;
}

/**
 * `follow`: sent by each entry and keeper again and again; answered once a quorum confirmed the leader. The records are what a
 * keeper knows of targets, for a leader that it meets for the first time; an entry's where the leader asked.
 */
export interface FollowRequest extends registryCopies.RecordBatch {
  name: string;
  role: 'entry' | 'keeper';
  /** Peer address of the follower, for pushes. */
  address: string;
  /** Version of the catalogue that the follower has in force. */
  version: number;
  mark: RegistryVersion;
  /** Dispatches of an entry that run, for a leader that it meets for the first time. */
  dispatches: Dispatched[];
  /** Requests under which targets ended, for a leader that it meets for the first time. */
  suspects: SuspectReport[];
  /** Limits of targets that are known here, for a leader that it meets for the first time. */
  limits: RateLimit[];
  /** A keeper's replica, for a leader that may need it as a voter. */
  replica: string | undefined;
  dataCentre: string;
}

/** A request and the target that writes its answer. */
export interface Dispatched {
  request: domain.allocation.allocator.Request;
  target: string;
}

export interface Confirmed {
  kind: 'confirmed';
  /** Peer addresses of all voters. */
  keepers: string[];
  /** Entries that follow the leader; 0 while it has led too briefly to know all. */
  entries: number;
  /** Whether the leader knows no targets, so that a follower's copy of the registry helps. */
  lacksTargets: boolean;
  /** What engines write on average, for an entry that loses the leader and then sees only its own dispatches. */
  crowding: domain.allocation.unseen.Crowding[];
  news: News;
}

/** The asked keeper doesn't lead; `leader` is empty while it knows none. */
export interface Redirect {
  kind: 'redirect';
  leader: string;
}

export type FollowAnswer = Confirmed | Redirect;

/** Changes that a follower lacks; the records come after those of `packedRegistry`. */
export interface News extends registryCopies.RecordBatch {
  /** A newer catalogue. */
  edition: domain.catalogue.versions.Edition | undefined;
  /** The mark after the records. */
  mark: RegistryVersion;
  /** The mark that the records build on; undefined where a whole registry comes, in `packedRegistry`. */
  since: RegistryVersion | undefined;
  /** Requests under which targets ended, as they are known after the change. */
  suspects: SuspectReport[];
  /** Limits of targets that changed or ended. */
  limits: RateLimit[];
  /** A whole registry, all suspects and all limits, as `registryCopies` packs them. */
  packedRegistry?: Uint8Array;
}

/** What a follower has in force once it took a push. */
export interface Learned {
  mark: RegistryVersion;
}

/** A lifetime that ended while it ran a content. */
export interface EndedTarget {
  content: string;
  lifetime: domain.quarantine.endedLifetimes.Lifetime;
  /** Whether that run was a trial, allowed while the content was suspected already. */
  isTrial: boolean;
  /** How long before the message it was noticed, and the request sent, milliseconds; an entry that was cut off tells later. */
  agoMs: number;
  sentAgoMs: number;
}

/** `blame`: targets that ended while they ran requests of an entry. */
export interface Blame {
  ended: EndedTarget[];
}

/** What the leader knows of the blamed contents now, which replaces what the entry noted by itself. */
export type BlameAnswer = { kind: 'taken'; reports: SuspectReport[] } | Redirect;

/** `permit`: whether a suspect may run now. */
export interface PermitQuestion {
  content: string;
  /** Id of the request, and the entry that has it. */
  id: string;
  entry: string;
  service: string;
  /** Targets that it was sent to before. */
  excluded: readonly string[];
}

export type PermitAnswer =
  /**
   * It runs as the only one with its content; `endings` is 0 where the leader suspects nothing. `target` is where it must run;
   * undefined for any.
   */
  | { kind: 'granted'; endings: number; target: string | undefined }
  /** Another request with its content runs, or no target is there that runs no other suspect. */
  | { kind: 'busy' }
  | { kind: 'quarantined' }
  | Redirect;

/** `trialEnded`: a suspect runs no longer. */
export interface TrialEnded {
  content: string;
  id: string;
  ranWhole: boolean;
}

/** The leader has it. */
export type TakenAnswer = { kind: 'taken' } | Redirect;

/** `place`: a request that needs an engine. */
export type Place = Omit<domain.allocation.allocator.Request, 'entry'> & {
  entry: string;
  /** How long the entry waits for a place, milliseconds. */
  patienceMs: number;
};

export type PlaceAnswer =
  | { kind: 'placed'; placement: domain.allocation.allocator.Placement }
  | { kind: 'noPlace'; retryAfterMs: number }
  | Redirect;

export interface EndedDispatch {
  id: string;
  ending: domain.allocation.soundness.Ending;
  /** Id of the target that made it fail, where that isn't the one that got the request. */
  faulty?: string;
  /** Usual pause between the events of its answer, milliseconds. */
  gapMs?: number;
  /** Id of the target that got the request. */
  target: string;
}

/** `ended`: dispatches of an entry that ended; sent together for a moment's worth of them. */
export interface Ended {
  dispatches: EndedDispatch[];
}

/** Messages to a target with a limit that no leader gave out: those that couldn't wait, or were sent while nobody led. */
export interface Spent extends LimitedPlace {
  count: number;
}

/** `limited`: limits that an entry's targets named, or don't name any more, and what it sent them. */
export interface Limited {
  limits: RateLimit[];
  spent: Spent[];
}

/** `grant`: whether one of some targets with limits may be sent a message now. */
export interface GrantQuestion {
  places: readonly LimitedPlace[];
  /** A check whether the target lives may be asked for where a request has to wait. */
  purpose: 'request' | 'check';
}

export type GrantAnswer =
  | { kind: 'granted'; place: LimitedPlace }
  /** None of them takes another one before so long, milliseconds. */
  | { kind: 'wait'; waitMs: number }
  | Redirect;

/** `announced`: what targets said to the keeper that sends it. */
export interface AnnouncementBatch {
  records: Announcement[];
}

export interface Departure {
  id: string;
  /** When the lifetime that ended began, Unix milliseconds; undefined where the target didn't say. */
  bornAt: number | undefined;
}

/** `leaving`: lifetimes that said in answers to an entry that they leave. */
export interface Leaving {
  lifetimes: domain.quarantine.endedLifetimes.Lifetime[];
}

/** `submit`: a catalogue from the keeper that an operator talked to. */
export interface SubmitRequest {
  edition: domain.catalogue.versions.Edition;
}

export type SubmitAnswer =
  { kind: 'accepted'; version: number } | { kind: 'unavailable'; detail: string };

/** `newest`: the newest catalogue, as of the asking. */
export type NewestAnswer =
  | { kind: 'newest'; edition: domain.catalogue.versions.Edition | undefined }
  | { kind: 'unavailable'; detail: string };

export const NO_MARK: RegistryVersion = { epoch: '', change: 0 };

/** Whether a state holds all that another one of the same leadership does. */
export function includes(a: RegistryVersion, b: RegistryVersion): boolean {
  return a.epoch === b.epoch && a.change >= b.change;
}

export function isSameVersion(a: RegistryVersion, b: RegistryVersion): boolean {
  return a.epoch === b.epoch && a.change === b.change;
}
