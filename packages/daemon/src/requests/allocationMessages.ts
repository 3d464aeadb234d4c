/** Messages between entries and allocators, encoded as tuples because they are sent for every request. */
import type * as domain from '@celerydrift/domain';
import type * as agedLoad from '../targets/agedLoad';

type Request = domain.routing.dispatcher.Request;

/** Only the first prefix keys are sent; later ones have little effect on the choice of a target. */
const MAX_PREFIX_KEYS = 64;

/** Times are sent as elapsed and remaining milliseconds, since the clocks of VMs differ. */
export type AllocateRequest = readonly [
  owner: string,
  id: string,
  organisation: string,
  share: number,
  priority: domain.settings.document.Priority,
  model: readonly [base: string, adapter: string, version: string],
  promptTokens: number,
  answerTokens: number,
  prefixKeys: readonly number[],
  waitedMs: number,
  leftMs: number,
  excluded: readonly string[],
];

/** Reply to an allocate call; `wait` means that the caller should repeat it. */
export type AllocateReply =
  | readonly [
      'placed',
      target: string,
      band: domain.routing.band.Band,
      priority: number,
      needsRoom: boolean,
    ]
  | readonly ['wait']
  | readonly ['refused', reason: domain.routing.dispatcher.Refusal]
  | readonly ['ended', reason: 'withdrawn' | 'deadline'];

export type NotificationKind = 'first' | 'ended' | 'withdrawn' | 'noRoom';

/** Progress of a placed request, with the engine's load if it was reported. */
export type Notification = readonly [
  kind: NotificationKind,
  id: string,
  target: string,
  load:
    readonly [queuedTokens: number, streams: number, freeTokens: number, ageMs: number] | undefined,
];

export function packRequest(owner: string, request: Request, now: number): AllocateRequest {
  const { base, adapter: loaded, version } = request.model;
  return [
    owner,
    request.id,
    request.organisation,
    request.share,
    request.priority,
    [base, loaded, version],
    request.promptTokens,
    request.answerTokens,
    request.prefixKeys.slice(0, MAX_PREFIX_KEYS),
    now - request.enqueuedAt,
    request.deadline - now,
    [...request.excluded],
  ];
}

export function unpackRequest(message: AllocateRequest, now: number): Request {
  const [, id, organisation, share, priority, [base, loaded, version], ...rest] = message;
  const [promptTokens, answerTokens, prefixKeys, waitedMs, leftMs, excluded] = rest;
  return {
    id,
    organisation,
    share,
    priority,
    model: { base, adapter: loaded, version },
    promptTokens,
    answerTokens,
    prefixKeys,
    enqueuedAt: now - waitedMs,
    deadline: now + leftMs,
    excluded: new Set(excluded),
  };
}

export function packLoad(load: agedLoad.AgedLoad | undefined): Notification[3] {
  if (load === undefined) return undefined;
  return [load.queuedTokens, load.streams, load.freeTokens, load.ageMs];
}

export function unpackLoad(packed: Notification[3] | null): agedLoad.AgedLoad | undefined {
  if (packed === undefined || packed === null) return undefined;
  const [queuedTokens, streams, freeTokens, ageMs] = packed;
  return { queuedTokens, streams, freeTokens, ageMs };
}
