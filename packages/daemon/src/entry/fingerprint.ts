/**
 * Tells requests by their content. Each attempt of a caller has an id of its own, so the id doesn't show that a request came
 * before; its address, its caller and its body do.
 */
import * as crypto from 'node:crypto';

export interface RequestIdentity {
  host: string;
  method: string;
  path: string;
  /** Whose key it bears; undefined on a public route. */
  organisation: string | undefined;
  body: Buffer;
}

/** Characters of a digest that are kept: 96 bits, so that two contents of a fleet's life don't meet. */
const DIGEST_CHARACTERS = 16;

export function of({ host, method, path, organisation = '', body }: RequestIdentity): string {
  const hash = crypto.createHash('sha256');
  // No part can hold a line feed, so that no two contents look the same when joined.
  hash.update(`${[host, method, path, organisation].join('\n')}\n`, 'latin1');
  const digest = hash.update(body).digest('base64url').slice(0, DIGEST_CHARACTERS);
  return `${body.length}-${digest}`;
}
