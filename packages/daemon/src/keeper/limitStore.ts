/**
 * Rate limits of targets, stored on a keeper's disk. After an outage of all VMs no other process knows them, and all
 * callers return at once: each overloaded target would get its share of them before its first answer. A limit loaded
 * from the file ends with the target's first answer that names none, that of a cold target by the next leader.
 */
import type * as domain from '@celerydrift/domain';
import * as Either from 'fp-ts/Either';
import * as t from 'io-ts';
import { Err, Ok, Result } from 'ts-results';
import * as softStateFile from './softStateFile';

type RateLimit = domain.rateLimits.rateLimits.RateLimit;

export const FILE = 'limits';

const LIMITS = t.array(
  t.intersection([
    t.type({ service: t.string, address: t.string, perSecond: t.number }),
    t.partial({ source: t.literal('cold') }),
  ]),
);

/** Reads the file; empty if there is none yet. */
export async function read(folder: string): Promise<Result<RateLimit[], softStateFile.Unusable>> {
  const content = await softStateFile.read(folder, FILE);
  if (content.err) return content;
  const decoded = LIMITS.decode(content.val ?? []);
  return Either.isLeft(decoded)
    ? Err({ kind: 'unusable', detail: 'not a list of limits' })
    : Ok(decoded.right);
}
