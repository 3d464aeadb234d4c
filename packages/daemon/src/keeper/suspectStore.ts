/**
 * Requests in quarantine on a keeper's disk. After a loss of all VMs nobody else knows them, and each would end three more
 * targets before it is known again.
 */
import type * as domain from '@celerydrift/domain';
import * as Either from 'fp-ts/Either';
import * as t from 'io-ts';
import { Err, Ok, Result } from 'ts-results';
import * as softStateFile from './softStateFile';

type Report = domain.quarantine.suspect.Report;

export const FILE = 'quarantine';

const REPORTS = t.array(
  t.type({
    content: t.string,
    endings: t.array(t.type({ lifetime: t.string, agoMs: t.number, isTrial: t.boolean })),
    quarantines: t.number,
    quarantinedForMs: t.number,
  }),
);

/** What the file holds; nothing where there is no file yet. */
export async function read(folder: string): Promise<Result<Report[], softStateFile.Unusable>> {
  const content = await softStateFile.read(folder, FILE);
  if (content.err) return content;
  const decoded = REPORTS.decode(content.val ?? []);
  return Either.isLeft(decoded)
    ? Err({ kind: 'unusable', detail: 'no list of requests' })
    : Ok(decoded.right);
}

/** What the file should hold: times are ages, as no clock goes on over a loss of power. */
export function contentOf(
  quarantine: domain.quarantine.quarantine.Quarantine,
  now: number,
): Report[] {
  return quarantine.reports(now).filter(({ quarantinedForMs }) => quarantinedForMs !== undefined);
}
