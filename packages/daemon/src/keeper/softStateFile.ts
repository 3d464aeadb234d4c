/**
 * A file on a keeper's disk that stores soft state as a hint for a restart. It is written in the background, some
 * time after each change, or soon after an urgent one; with a full or broken disk only this hint is missing.
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

/** Pause before the write of an urgent change, in milliseconds, so that the changes of a burst share their writes. */
const URGENT_INTERVAL_MS = 10;

/** Changes that a process waits for until they are on the disk. */
interface UrgentChanges {
  done: Promise<void>;
  finish: () => void;
}

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

  /** Urgent changes that no write has begun to store. */
  private urgent: UrgentChanges | undefined;

  /** Resolves when the urgent changes of the last writes are stored or given up. */
  private urgentWritten: Promise<void> = Promise.resolve();

  private endPause = (): void => undefined;

  constructor(private readonly dependencies: Dependencies) {}

  /** Schedules a write of the changed state. */
  markChanged(): void {
    this.isChanged = true;
    this.writing ??= this.write();
  }

  /** Schedules a write that doesn't wait for the usual pause. */
  markUrgent(): void {
    this.urgent ??= urgentChanges();
    this.markChanged();
    this.endPause();
  }

  /** Resolves once all urgent changes are on the disk, or their write has failed. */
  async stored(): Promise<void> {
    await Promise.all([this.urgentWritten, this.urgent?.done]);
  }

  /** Stops writing; resolves when no write is in progress. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.endPause();
    await this.writing;
  }

  private async write(): Promise<void> {
    while (this.isChanged && !this.isClosed) {
      this.isChanged = false;
      const { urgent } = this;
      this.urgent = undefined;
      if (urgent !== undefined) this.urgentWritten = urgent.done;
      await this.replace();
      urgent?.finish();
      await this.pause();
    }
    this.urgent?.finish();
    this.writing = undefined;
  }

  private async pause(): Promise<void> {
    const isEnded = new Promise<void>((resolve) => {
      this.endPause = resolve;
    });
    if (this.urgent === undefined) await Promise.race([isEnded, clock.sleep(WRITE_INTERVAL_MS)]);
    if (this.urgent !== undefined) await clock.sleep(URGENT_INTERVAL_MS);
  }

  /** Replaces the file; after a failure it is tried again after the usual pause. */
  private async replace(): Promise<void> {
    const { folder, name, content, observer: observe } = this.dependencies;
    try {
      await replaceFile.replaceFile(folder, name, frames.encode(content()));
      this.isFailing = false;
    } catch (error) {
      if (!this.isFailing) observe.log('memoryNotWritten', { file: name, reason: String(error) });
      this.isFailing = true;
      this.isChanged = true;
    }
  }
}

function urgentChanges(): UrgentChanges {
  let finish = (): void => undefined;
  const done = new Promise<void>((resolve) => {
    finish = resolve;
  });
  return { done, finish };
}
