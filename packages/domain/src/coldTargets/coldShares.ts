/**
 * Divides the requests that a cold target can handle among the processes that may send them. The
 * leader and the entries without a leader have fixed parts, as neither knows whether the other one
 * is sending: a leader can't tell an entry that was cut off from one that ended.
 */
import type * as rateLimits from '../rateLimits/rateLimits';

/** Part of the rate of a cold target that the leader grants. */
export const LEADER_SHARE = 0.85;

/** Part that all entries without a leader have together. */
const LEADERLESS_SHARE = 1 - LEADER_SHARE;

/**
 * Entries that may send to one target without a leader. Two, so that the target is still used if
 * one of them has failed. A target of few requests per second has one, as each sender may send one
 * request more than its exact part.
 */
const SENDERS = 2;
const MIN_RATE_FOR_SENDERS = 10;

/** Position of an entry among all entries that followed the last leader. */
export interface EntryRank {
  /** From 0 to `entries` - 1. */
  rank: number;
  entries: number;
}

/**
 * Part of the rate of a cold target that an entry without a leader has; 0 for most entries. A hash
 * of the target selects adjacent ranks, so exactly as many entries as intended send to it.
 */
export function leaderlessShare(
  { service, address, perSecond = 0 }: rateLimits.RateLimit,
  { rank, entries }: EntryRank,
): number {
  const senders = Math.min(entries, perSecond >= MIN_RATE_FOR_SENDERS ? SENDERS : 1);
  const offset = (hashOf(`${service} ${address}`) + rank) % Math.max(1, entries);
  return offset < senders ? LEADERLESS_SHARE / senders : 0;
}

/** 32-bit FNV-1a; the same in every process, and available without the loading of a library. */
export function hashOf(text: string): number {
  return [...text].reduce((hash, character) => {
    return Math.imul(hash ^ (character.codePointAt(0) ?? 0), 0x01000193) >>> 0;
  }, 0x811c9dc5);
}
