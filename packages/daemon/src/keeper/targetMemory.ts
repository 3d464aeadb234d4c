/**
 * Targets on a keeper's disk. After a loss of all keepers a new leader would know no targets until each announces
 * itself, over a second later, and every prompt would be refused with engines idle. The file is only a hint: what it
 * names is used with care until it speaks, so it is written beside the requests and may be lost.
 */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as domain from '@celerydrift/domain';
import * as Either from 'fp-ts/Either';
import * as t from 'io-ts';
import { Err, Ok, Result } from 'ts-results';
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import * as frames from '../storage/frames';
import * as journal from '../storage/journal';

type Announcement = domain.registry.registry.Announcement;

/** Why a file names no targets. */
export interface Unusable {
  kind: 'unusable';
  detail: string;
}

export interface Parts {
  folder: string;
  observer: observer.Observer;
  /** What to keep, as of the writing. */
  records: () => Announcement[];
}

const FILE = 'targets';

/**
 * Pause after a writing, milliseconds. Targets come and go one by one in a release and all at once after a start; two
 * writings a second of some 60 KB with a sync leave a slow disk to the log.
 */
const PAUSE_MS = 500;

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

/** What the file holds; no targets where there is no file yet. */
export async function read(folder: string): Promise<Result<Announcement[], Unusable>> {
  let file: Buffer;
  try {
    file = await fs.readFile(path.join(folder, FILE));
  } catch (error) {
    const isMissing = (error as NodeJS.ErrnoException).code === 'ENOENT';
    return isMissing ? Ok([]) : Err({ kind: 'unusable', detail: String(error) });
  }
  return decode(file);
}

function decode(file: Buffer): Result<Announcement[], Unusable> {
  const replayed = frames.replay(file);
  if (replayed.err || replayed.val.torn) return Err({ kind: 'unusable', detail: 'not whole' });
  const decoded = RECORDS.decode(replayed.val.payloads[0]);
  if (Either.isLeft(decoded)) return Err({ kind: 'unusable', detail: 'no list of targets' });
  // A lifetime that ended before its first announcement is known by its id alone.
  return Ok(
    decoded.right.filter((record) => {
      return record.state === 'gone' || domain.registry.validity.problemOf(record) === undefined;
    }),
  );
}

export class TargetMemory {
  private isChanged = false;

  private writing: Promise<void> | undefined;

  private isClosed = false;

  private isFailing = false;

  constructor(private readonly parts: Parts) {}

  /** Something changed that a restart should know. */
  changed(): void {
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
      await this.replaceFile();
      await clock.pause(PAUSE_MS);
    }
    this.writing = undefined;
  }

  /** A full or broken disk costs nothing but the memory; the next change tries again. */
  private async replaceFile(): Promise<void> {
    const { folder, records, observer: observe } = this.parts;
    const file = path.join(folder, FILE);
    try {
      const handle = await fs.open(`${file}.new`, 'w');
      try {
        await handle.writeFile(frames.encode(records()));
        await handle.sync();
      } finally {
        await handle.close();
      }
      await fs.rename(`${file}.new`, file);
      await journal.syncFolder(folder);
      this.isFailing = false;
    } catch (error) {
      if (!this.isFailing) observe.log('targetsNotWritten', { reason: String(error) });
      this.isFailing = true;
    }
  }
}
