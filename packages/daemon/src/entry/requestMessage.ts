/** A caller's request as the message to the target that it is placed on. */
import type * as domain from '@celerydrift/domain';
import type * as protocols from '../edges/protocols';
import type * as admittedRequest from './admittedRequest';
import type * as placementTerms from './placementTerms';
import type * as reservations from './reservations';
import type * as targetMessage from './targetMessage';

export interface Options {
  admitted: admittedRequest.AdmittedRequest;
  service: string;
  placement: domain.allocation.allocator.Placement;
  /** Memory that the request has on its prefill helpers. */
  memory: Pick<reservations.Reservations, 'withReservations'>;
  terms: Pick<placementTerms.PlacementTerms, 'timeLeftMs' | 'urgencyAt'>;
  protocol: Pick<protocols.TrafficProtocol, 'requestHeaders'>;
  /** Id of the last event that the caller has received; undefined before the first. */
  resumeAfter: string | undefined;
  /** Whether the target has received the request before. */
  isRepeat: boolean;
}

export function of(options: Options): targetMessage.TargetMessage {
  const { admitted, placement, isRepeat } = options;
  const { request, body, facts } = admitted;
  const currentHeaders = (): string[] => headersOf(options);
  return {
    target: placement.target,
    address: placement.address,
    purpose: 'request',
    helpers: placement.helpers.map(({ target }) => target),
    requestId: facts.requestId,
    isRepeat,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: currentHeaders(),
    currentHeaders,
    body,
  };
}

function headersOf({
  admitted,
  service,
  placement,
  memory,
  terms,
  protocol,
  resumeAfter,
}: Options): string[] {
  const { request, organisation } = admitted;
  return protocol.requestHeaders(request.rawHeaders, {
    target: placement.target,
    organisation,
    timeLeftMs: terms.timeLeftMs,
    helpers: memory.withReservations(placement.helpers),
    ...terms.urgencyAt(service),
    resumeAfter,
  });
}
