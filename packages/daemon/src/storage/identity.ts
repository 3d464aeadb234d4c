/**
 * Replica id of a data folder, written when the folder is created. A VM that restarts with an empty disk, or without its
 * journals, gets a new id and is a new replica: it must not vote under the old id, whose votes and entries it lost.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as replaceFile from './replaceFile';

const FILE = 'identity';

/** Reads the replica id of a data folder, or creates the folder and a random id. */
export async function readOrCreate(folder: string): Promise<string> {
  const file = path.join(folder, FILE);
  const existing = await fs.readFile(file, 'utf8').catch(() => '');
  return existing.trim() === '' ? create(folder) : existing.trim();
}

/** Creates a random id, which replaces one that the folder may have. */
export async function create(folder: string): Promise<string> {
  await fs.mkdir(folder, { recursive: true });
  const created = `replica-${crypto.randomBytes(8).toString('hex')}`;
  await replaceFile.replaceFile(folder, FILE, `${created}\n`);
  return created;
}
