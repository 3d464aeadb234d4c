/** A caller's request after its admission, as the ingress hands it to an exchange. */
import type * as http from 'node:http';
import type * as domain from '@celerydrift/domain';
import type * as protocols from '../edges/protocols';
import type * as heldBytes from '../http/heldBytes';

export interface AdmittedRequest {
  request: http.IncomingMessage;
  response: http.ServerResponse;
  facts: protocols.CallerMetadata;
  route: domain.catalogue.catalogue.Route;
  organisation: string | undefined;
  /** Urgency class at a service; undefined where all requests of the service are of one class. */
  urgencyAt?: (service: string) => number | undefined;
  body: Buffer;
  arrivedAt: number;
  held: heldBytes.Holding;
}

/** The error of a request whose entry has stopped: it is to be answered now, and not to be sent any more. */
export class EntryStopped extends Error {
  constructor() {
    super('the entry has stopped');
  }
}
