/**
 * The journal of one replica: a file of frames, each a batch of records that was synced before
 * anything that depends on it left the process. A snapshot rewrites the file beside the old one and
 * renames it, so that at every moment one whole journal is there.
 */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import * as frames from './frames';

type Durable = domain.replication.messages.Durable;
/** A snapshot is no record to append: it rewrites the journal from the replica's whole state. */
type Record = Exclude<domain.replication.messages.Record, { kind: 'snapshot' }>;

export interface OpenedJournal {
  journal: Journal;
  /** Undefined for a journal that was never founded. */
  durable: Durable | undefined;
  wasTorn: boolean;
}

const FILE = 'journal';

/** Applies one record to what the journal holds. */
export function applyRecord(durable: Durable, record: Record): Durable {
  if (record.kind === 'vote') return { ...durable, vote: record.vote };
  if (record.kind === 'append') {
    // Pushed in place: replay of a long journal would otherwise copy it once per record.
    record.entries.forEach((entry) => durable.entries.push(entry));
    return durable;
  }
  return { ...durable, entries: durable.entries.filter(({ index }) => index < record.from) };
}

export class Journal {
  private constructor(
    private readonly folder: string,
    private handle: fs.FileHandle,
    /** Bytes that a sync has covered. */
    private syncedBytes: number,
  ) {}

  static async open(folder: string): Promise<Result<OpenedJournal, frames.CorruptFrame>> {
    await fs.mkdir(folder, { recursive: true });
    await fs.rm(path.join(folder, `${FILE}.new`), { force: true });
    const handle = await fs.open(path.join(folder, FILE), 'a+');
    const replayed = frames.replay(await handle.readFile());
    if (replayed.err) {
      await handle.close();
      return Err(replayed.val);
    }
    const { payloads, length, torn } = replayed.val;
    if (torn) {
      await handle.truncate(length);
      await handle.datasync();
    }
    const durable = rebuild(payloads as (Durable | Record[])[]);
    return Ok({ journal: new Journal(folder, handle, length), durable, wasTorn: torn });
  }

  /** Writes and syncs a batch; once this resolves it survives a crash. */
  async append(records: readonly Record[]): Promise<void> {
    const frame = frames.encode(records);
    await this.handle.appendFile(frame);
    await this.handle.datasync();
    this.syncedBytes += frame.length;
  }

  /**
   * Drops what a failed write or sync left behind and reads back the rest. After a failed sync nobody knows
   * which of its bytes the disk holds; none of them was promised to anybody, so they are cut.
   */
  async recover(): Promise<Result<Durable | undefined, frames.CorruptFrame>> {
    await fs.rm(path.join(this.folder, `${FILE}.new`), { force: true });
    await this.handle.close();
    this.handle = await fs.open(path.join(this.folder, FILE), 'a+');
    await this.handle.truncate(this.syncedBytes);
    await this.handle.datasync();
    const replayed = frames.replay(await this.handle.readFile());
    return replayed.map(({ payloads }) => rebuild(payloads as (Durable | Record[])[]));
  }

  /** Replaces the whole journal by its present content. */
  async rewrite(durable: Durable): Promise<void> {
    const newPath = path.join(this.folder, `${FILE}.new`);
    const handle = await fs.open(newPath, 'w');
    const frame = frames.encode(durable);
    await handle.appendFile(frame);
    await handle.sync();
    await fs.rename(newPath, path.join(this.folder, FILE));
    await syncFolder(this.folder);
    await this.handle.close();
    await handle.close();
    this.handle = await fs.open(path.join(this.folder, FILE), 'a+');
    this.syncedBytes = frame.length;
  }

  async close(): Promise<void> {
    await this.handle.close();
  }
}

function rebuild(payloads: readonly (Durable | Record[])[]): Durable | undefined {
  const [first, ...rest] = payloads;
  if (first === undefined) return undefined;
  return (rest as Record[][]).flat().reduce(applyRecord, first as Durable);
}

/** A rename is durable only once its folder is synced. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await fs.open(folder, 'r');
  await handle.sync();
  await handle.close();
}
