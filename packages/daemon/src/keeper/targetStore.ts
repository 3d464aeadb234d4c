/**
 * Targets, stored on a keeper's disk. After an outage of all keepers a new leader would know no targets until each
 * announces itself, over a second later, and would refuse every prompt while engines are idle. Targets loaded from
 * the file are used with care until they announce themselves.
 */
import * as domain from '@celerydrift/domain';
import * as Either from 'fp-ts/Either';
import * as t from 'io-ts';
import { Err, Ok, Result } from 'ts-results';
import * as softStateFile from './softStateFile';

type Announcement = domain.registry.registry.Announcement;

export const FILE = 'targets';

const RECORDS = t.array(
  t.type({
    id: t.string,
    bornAt: t.number,
    service: t.string,
    address: t.string,
    dataCentre: t.string,
    slots: t.number,
    state: t.keyof({ ready: null, draining: null, gone: null }),
    sequence: t.number,
  }),
);

/** Reads the file; no targets if there is none yet. */
export async function read(
  folder: string,
): Promise<Result<Announcement[], softStateFile.Unusable>> {
  const content = await softStateFile.read(folder, FILE);
  if (content.err) return content;
  const decoded = RECORDS.decode(content.val ?? []);
  if (Either.isLeft(decoded)) return Err({ kind: 'unusable', detail: 'not a list of targets' });
  // A lifetime that ended before its first announcement is known only by its id, so its other fields aren't checked.
  return Ok(
    decoded.right.filter((record) => {
      return record.state === 'gone' || domain.registry.validity.problemOf(record) === undefined;
    }),
  );
}
