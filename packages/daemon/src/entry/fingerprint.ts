/**
 * Fingerprints of requests. Callers send each retry under a new id, so a repeated request is recognised by its URL, its
 * organisation and its body.
 */
import * as crypto from 'node:crypto';

/** The parts of a request that its fingerprint covers. */
export interface RequestIdentity {
  host: string;
  method: string;
  path: string;
  /** Organisation that the request's key belongs to; undefined on a public route. */
  organisation: string | undefined;
  body: Buffer;
}

/** Length of a truncated digest: 96 bits, enough to rule out collisions over the lifetime of a fleet. */
const DIGEST_CHARACTERS = 16;

export function of({ host, method, path, organisation = '', body }: RequestIdentity): string {
  const hash = crypto.createHash('sha256');
  // No part can contain a line feed, so different requests never give the same joined text.
  hash.update(`${[host, method, path, organisation].join('\n')}\n`, 'latin1');
  const digest = hash.update(body).digest('base64url').slice(0, DIGEST_CHARACTERS);
  return `${body.length}-${digest}`;
}
