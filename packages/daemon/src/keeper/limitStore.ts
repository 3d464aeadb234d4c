/**
 * Limits of targets on a keeper's disk. After a loss of all VMs nobody else knows them, and all callers come back at once: each target in
 * need would get its part of them before its first answer. What the file names ends with the first answer that names none.
 */
import type * as domain from '@celerydrift/domain';
import * as Either from 'fp-ts/Either';
import * as t from 'io-ts';
import { Err, Ok, Result } from 'ts-results';
import * as softStateFile from './softStateFile';

type RateLimit = domain.rateLimits.rateLimits.RateLimit;

export const FILE = 'limits';

const LIMITS = t.array(t.type({ service: t.string, address: t.string, perSecond: t.number }));

/** What the file holds; nothing where there is no file yet. */
export async function read(folder: string): Promise<Result<RateLimit[], softStateFile.Unusable>> {
  const content = await softStateFile.read(folder, FILE);
  if (content.err) return content;
  const decoded = LIMITS.decode(content.val ?? []);
  return Either.isLeft(decoded)
    ? Err({ kind: 'unusable', detail: 'no list of limits' })
    : Ok(decoded.right);
}
