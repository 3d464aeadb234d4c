/**
 * A file on a keeper's disk that stores soft state as a hint for a restart. It is written in the background, some
 * time after each change, and may be lost; with a full or broken disk only this hint is missing.
 */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import { Err, Ok, Result } from 'ts-results';
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import * as frames from '../storage/frames';
import * as replaceFile from '../storage/replaceFile';

/** Why a file can't be used. */
export interface Unusable {
  kind: 'unusable';
  detail: string;
}

export interface Dependencies {
  folder: string;
  name: string;
  observer: observer.Observer;
  /** Returns what to store, at the time of writing. */
  content: () => unknown;
}

/**
 * Pause after a write, in milliseconds. Targets come and go one by one in a release and all at once after a start;
 * two writes of some 60 KB with a sync per second leave a slow disk to the log.
 */
const WRITE_INTERVAL_MS = 500;

/** Reads a file; undefined if there is none yet. */
export async function read(folder: string, name: string): Promise<Result<unknown, Unusable>> {
  let file: Buffer;
  try {
    file = await fs.readFile(path.join(folder, name));
  } catch (error) {
    const isMissing = (error as NodeJS.ErrnoException).code === 'ENOENT';
    return isMissing ? Ok(undefined) : Err({ kind: 'unusable', detail: String(error) });
  }
  const replayed = frames.replay(file);
  if (replayed.err || replayed.val.torn)
    return Err({ kind: 'unusable', detail: 'corrupt or truncated' });
  return Ok(replayed.val.payloads[0]);
}

export class SoftStateFile {
  private isChanged = false;

  private writing: Promise<void> | undefined;

  private isClosed = false;

  private isFailing = false;

  constructor(private readonly dependencies: Dependencies) {}

  /** Schedules a write of the changed state. */
  markChanged(): void {
    this.isChanged = true;
    this.writing ??= this.write();
  }

  /** Stops writing; resolves when no write is in progress. */
  async close(): Promise<void> {
    this.isClosed = true;
    await this.writing;
  }

  private async write(): Promise<void> {
    while (this.isChanged && !this.isClosed) {
      this.isChanged = false;
      await this.replace();
      await clock.sleep(WRITE_INTERVAL_MS);
    }
    this.writing = undefined;
  }

  /** Replaces the file; after a failure the next change tries again. */
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
