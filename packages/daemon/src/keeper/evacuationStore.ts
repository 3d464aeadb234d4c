/**
 * Ids of the replicas that know evacuations, stored on a keeper's disk. After an outage of all keepers some voters may
 * not come back, and without the file orders would be refused until these are replaced.
 */
import * as Either from 'fp-ts/Either';
import * as t from 'io-ts';
import { Err, Ok, Result } from 'ts-results';
import * as softStateFile from './softStateFile';

export const FILE = 'evacuation-replicas';

const REPLICAS = t.array(t.string);

/** Reads the file; empty if there is none yet. */
export async function read(folder: string): Promise<Result<string[], softStateFile.Unusable>> {
  const content = await softStateFile.read(folder, FILE);
  if (content.err) return content;
  const decoded = REPLICAS.decode(content.val ?? []);
  return Either.isLeft(decoded)
    ? Err({ kind: 'unusable', detail: 'not a list of replicas' })
    : Ok(decoded.right);
}
