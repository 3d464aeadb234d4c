/**
 * Quarantined requests, stored on a keeper's disk. After an outage of all VMs no other process knows them, and each
 * would crash three more targets before it is quarantined again.
 */
import type * as domain from '@celerydrift/domain';
import * as Either from 'fp-ts/Either';
import * as t from 'io-ts';
import { Err, Ok, Result } from 'ts-results';
import * as softStateFile from './softStateFile';

type SuspectReport = domain.quarantine.suspect.SuspectReport;

export const FILE = 'quarantine';

const REPORTS = t.array(
  t.type({
    content: t.string,
    endings: t.array(t.type({ lifetime: t.string, agoMs: t.number, isTrial: t.boolean })),
    quarantines: t.number,
    quarantinedForMs: t.number,
  }),
);

/** Reads the file; empty if there is none yet. */
export async function read(
  folder: string,
): Promise<Result<SuspectReport[], softStateFile.Unusable>> {
  const content = await softStateFile.read(folder, FILE);
  if (content.err) return content;
  const decoded = REPORTS.decode(content.val ?? []);
  return Either.isLeft(decoded)
    ? Err({ kind: 'unusable', detail: 'not a list of requests' })
    : Ok(decoded.right);
}

/** The content to store. Times are stored as ages, as no clock continues over a power loss. */
export function contentOf(
  quarantine: domain.quarantine.quarantine.Quarantine,
  now: number,
): SuspectReport[] {
  return quarantine.reports(now).filter(({ quarantinedForMs }) => quarantinedForMs !== undefined);
}
