/** Replaces a small file atomically: after a crash or power loss it has either the old or the new content. */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as journal from './journal';

export async function replaceFile(
  folder: string,
  name: string,
  content: Buffer | string,
): Promise<void> {
  const file = path.join(folder, name);
  const handle = await fs.open(`${file}.new`, 'w');
  try {
    await handle.writeFile(content);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await fs.rename(`${file}.new`, file);
  await journal.syncFolder(folder);
}
