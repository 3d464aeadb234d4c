/**
 * A target as the daemons know it: what it announced, in which incarnation, under which load. The
 * order of announcements is (incarnation, sequence), set by the target itself, so copies that travel
 * by different ways always agree on which is newer.
 */

export type Kind = 'engine' | 'service';

/** Whether a target refuses orders that carry an old fencing number. */
export type Fencing = 'checked' | 'ignored';

export type Status = 'serving' | 'leaving' | 'gone';

/** A model in an engine's memory. */
export interface Loaded {
  base: string;
  adapter: string;
  version: string;
}

/** Load as the engine saw it when it reported, already some time ago on arrival. */
export interface Load {
  /** Prompt tokens accepted but not yet prefilled, of all its users together. */
  queuedTokens: number;
  streams: number;
  /** KV memory free or held only by evictable cache, in tokens. */
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
  /** Name of the plain service, for targets of that kind. */
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
    // Within an incarnation leaving is final. "Gone" is a keeper's guess from silence, so a later
    // announcement of the target itself revokes it.
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

/** Rounds a count to about 19% so that small changes of load cause no messages. */
export function quantised(count: number): number {
  if (count < 1) return 0;
  return Math.round(2 ** (Math.round(Math.log2(count) * 4) / 4));
}

/**
 * Whether the difference between two announcements is worth telling daemons that don't keep it. Load is
 * not: engines tell it with their answers, to those that use them, at no cost in messages.
 */
export function isNews(candidate: Target, current: Target | undefined): boolean {
  if (current === undefined) return true;
  const relevantFields = ({ incarnation, status, address, models, memoryTokens }: Target): string =>
    JSON.stringify([incarnation, status, address, models, memoryTokens]);
  return relevantFields(candidate) !== relevantFields(current);
}
