/**
 * Calls of an entry to the current leader, with a short timeout: a leader that works answers within a few
 * milliseconds, and one that doesn't is replaced.
 */
import type * as leaderLink from '../fleet/leaderLink';
import type * as messages from '../fleet/messages';
import type * as peerClient from '../rpc/peerClient';

export interface Dependencies {
  link: Pick<leaderLink.LeaderLink, 'leader'>;
  client: Pick<peerClient.PeerClient, 'call'>;
}

/** Timeout of a call, milliseconds: ten times the usual answer time, as for a placement. */
const LEADER_TIMEOUT_MS = 150;

/** The leader's answer; undefined if there is no leader, or it didn't answer or has stepped down. */
export async function call<T extends { kind: string }>(
  { link, client }: Dependencies,
  method: string,
  content: object,
): Promise<Exclude<T, messages.Redirect> | undefined> {
  const { leader } = link;
  if (leader === '') return undefined;
  const options = { timeoutMs: LEADER_TIMEOUT_MS, toleratesDelay: true };
  const answer = await client.call<T | messages.Redirect>(leader, method, content, options);
  if (answer.err || answer.val.kind === 'redirect') return undefined;
  return answer.val as Exclude<T, messages.Redirect>;
}
