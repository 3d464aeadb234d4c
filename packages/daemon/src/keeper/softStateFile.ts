/**
 * A file on a keeper's disk that holds soft state as a hint for a restart. It is written beside the requests, some time after
 * each change, and may be lost; a full or broken disk costs nothing but the memory.
 */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import { Err, Ok, Result } from 'ts-results';
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import * as frames from '../storage/frames';
import * as replaceFile from '../storage/replaceFile';

/** Why a file tells nothing. */
export interface Unusable {
  kind: 'unusable';
  detail: string;
}

export interface Dependencies {
  folder: string;
  name: string;
  observer: observer.Observer;
  /** What to keep, as of the writing. */
  content: () => unknown;
}

/**
 * Pause after a writing, milliseconds. Targets come and go one by one in a release and all at once after a start; two
 * writings a second of some 60 KB with a sync leave a slow disk to the log.
 */
const WRITE_INTERVAL_MS = 500;

/** What a file holds; undefined where there is none yet. */
export async function read(folder: string, name: string): Promise<Result<unknown, Unusable>> {
  let file: Buffer;
  try {
    file = await fs.readFile(path.join(folder, name));
  } catch (error) {
    const isMissing = (error as NodeJS.ErrnoException).code === 'ENOENT';
    return isMissing ? Ok(undefined) : Err({ kind: 'unusable', detail: String(error) });
  }
  const replayed = frames.replay(file);
  if (replayed.err || replayed.val.torn) return Err({ kind: 'unusable', detail: 'not whole' });
  return Ok(replayed.val.payloads[0]);
}

export class SoftStateFile {
  private isChanged = false;

  private writing: Promise<void> | undefined;

  private isClosed = false;

  private isFailing = false;

  constructor(private readonly dependencies: Dependencies) {}

  /** Something changed that a restart should know. */
  markChanged(): void {
    this.isChanged = true;
    this.writing ??= this.write();
  }

  /** Writes nothing more; resolves when nothing is under way. */
  async close(): Promise<void> {
    this.isClosed = true;
    await this.writing;
  }

  private async write(): Promise<void> {
    while (this.isChanged && !this.isClosed) {
      this.isChanged = false;
      await this.replace();
      await clock.pause(WRITE_INTERVAL_MS);
    }
    this.writing = undefined;
  }

  /** The next change tries again what fails. */
  private async replace(): Promise<void> {
    const { folder, name, content, observer: observe } = this.dependencies;
    try {
      await replaceFile.replaceFile(folder, name, frames.encode(content()));
      this.isFailing = false;
    } catch (error) {
      if (!this.isFailing) observe.log('memoryNotWritten', { file: name, reason: String(error) });
      this.isFailing = true;
    }
  }
}
