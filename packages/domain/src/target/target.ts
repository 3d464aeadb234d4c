/**
 * A target as the daemons see it: its announcement, incarnation and load. Announcements are ordered
 * by (incarnation, sequence), which the target sets itself, so copies that travel by different
 * paths always agree on which one is newer.
 */

export type Kind = 'engine' | 'service';

/** Whether a target refuses commands with an outdated fencing token. */
export type Fencing = 'checked' | 'ignored';

export type Status = 'serving' | 'leaving' | 'gone';

/** A model in an engine's memory. */
export interface Loaded {
  base: string;
  adapter: string;
  version: string;
}

/** Load that the engine measured when it reported, some time before the arrival of the report. */
export interface Load {
  /**
   * Prompt tokens that were accepted but not yet prefilled, of all users of the engine together.
   */
  queuedTokens: number;
  streams: number;
  /** KV memory that is free or used only by evictable cache, in tokens. */
  freeTokens: number;
}

export interface Target {
  name: string;
  incarnation: number;
  sequence: number;
  kind: Kind;
  /** `host:port` of its own listener. */
  address: string;
  dataCentre: string;
  status: Status;
  fencing: Fencing;
  /** Name of the service, for targets of that kind. */
  service: string;
  models: Loaded[];
  /** KV memory in tokens. */
  memoryTokens: number;
  load: Load;
}

const STATUS_RANK: Record<Status, number> = { serving: 0, leaving: 1, gone: 2 };

/** Whether `candidate` replaces `current`. An older incarnation never replaces a newer one. */
export function isNewer(candidate: Target, current: Target | undefined): boolean {
  if (current === undefined) return true;
  if (candidate.incarnation !== current.incarnation) {
    return candidate.incarnation > current.incarnation;
  }
  if (candidate.status !== current.status) {
    // Within an incarnation `leaving` is final. `gone` was only inferred by a keeper from missing
    // announcements, so a later announcement of the target revokes it.
    const isRevoked = current.status === 'gone' && candidate.sequence > current.sequence;
    return isRevoked || STATUS_RANK[candidate.status] > STATUS_RANK[current.status];
  }
  return candidate.sequence > current.sequence;
}

export function serves(target: Target, model: Loaded): boolean {
  return target.models.some(
    ({ base, adapter, version }) =>
      base === model.base && adapter === model.adapter && version === model.version,
  );
}

/** Rounds a count to steps of about 19%, so that small changes of load cause no messages. */
export function quantised(count: number): number {
  if (count < 1) return 0;
  return Math.round(2 ** (Math.round(Math.log2(count) * 4) / 4));
}

/**
 * Whether to report the difference between two announcements to daemons that don't manage the
 * lease. Load isn't reported: engines return it with their responses, to those that use them,
 * without extra messages.
 */
export function isSignificantChange(candidate: Target, current: Target | undefined): boolean {
  if (current === undefined) return true;
  const relevantFields = ({ incarnation, status, address, models, memoryTokens }: Target): string =>
    JSON.stringify([incarnation, status, address, models, memoryTokens]);
  return relevantFields(candidate) !== relevantFields(current);
}
