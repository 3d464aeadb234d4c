/**
 * The identity of a data folder, written when it is made. A VM that comes back with an empty disk
 * gets a new one and is a new replica: it must not vote as the old, whose promises it forgot.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as replaceFile from './replaceFile';

const FILE = 'identity';

export async function readOrCreate(folder: string): Promise<string> {
  await fs.mkdir(folder, { recursive: true });
  const file = path.join(folder, FILE);
  const existing = await fs.readFile(file, 'utf8').catch(() => '');
  if (existing.trim() !== '') return existing.trim();
  const created = `replica-${crypto.randomBytes(8).toString('hex')}`;
  await replaceFile.replaceFile(folder, FILE, `${created}\n`);
  return created;
}
