/**
 * Append-only journal of one replica: a file of frames, each a batch of records that is synced before
 * anything that depends on it leaves the process. A snapshot writes a new file and renames it over the old
 * one, so that a complete journal exists at all times.
 */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import * as frames from './frames';

type Durable = domain.replication.messages.DurableState;
/** Snapshots aren't appended: they rewrite the journal from the replica's whole durable state. */
type Record = Exclude<domain.replication.messages.StorageRecord, { kind: 'snapshot' }>;

export interface OpenedJournal {
  journal: Journal;
  /** Undefined if the journal is new and empty. */
  durable: Durable | undefined;
  /** Whether a torn last frame was truncated. */
  wasTorn: boolean;
}

const FILE = 'journal';

/** Applies one record to the durable state. */
export function applyRecord(durable: Durable, record: Record): Durable {
  if (record.kind === 'vote') return { ...durable, vote: record.vote };
  if (record.kind === 'append') {
    // Pushed in place, as replaying a long journal would otherwise copy all entries once per record.
    record.entries.forEach((entry) => durable.entries.push(entry));
    return durable;
  }
  return { ...durable, entries: durable.entries.filter(({ index }) => index < record.from) };
}

export class Journal {
  private constructor(
    private readonly folder: string,
    private handle: fs.FileHandle,
    /** Length of the file in bytes that is known to be synced. */
    private syncedBytes: number,
  ) {}

  static async open(folder: string): Promise<Result<OpenedJournal, frames.CorruptFrame>> {
    await createFolder(folder);
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

  /** Writes and syncs a batch of records; once this resolves they survive a crash. */
  async append(records: readonly Record[]): Promise<void> {
    const frame = frames.encode(records);
    await this.handle.appendFile(frame);
    await this.handle.datasync();
    this.syncedBytes += frame.length;
  }

  /**
   * Truncates what a failed write or sync left behind and reads back the rest. After a failed sync it is
   * unknown which of its bytes are on disk; none of them was acknowledged, so all are dropped.
   */
  async recover(): Promise<Result<Durable | undefined, frames.CorruptFrame>> {
    await fs.rm(path.join(this.folder, `${FILE}.new`), { force: true });
    await this.handle.close();
    this.handle = await fs.open(path.join(this.folder, FILE), 'a+');
    await this.handle.truncate(this.syncedBytes);
    await this.handle.datasync();
    await syncFolder(this.folder);
    const replayed = frames.replay(await this.handle.readFile());
    return replayed.map(({ payloads }) => rebuild(payloads as (Durable | Record[])[]));
  }

  /** Replaces the journal by a single frame with the given state. */
  async rewrite(durable: Durable): Promise<void> {
    const newPath = path.join(this.folder, `${FILE}.new`);
    const frame = frames.encode(durable);
    await writeSynced(newPath, frame);
    await fs.rename(newPath, path.join(this.folder, FILE));
    // The name means the new file from here on, also if the next step fails and `recover` follows.
    this.syncedBytes = frame.length;
    await syncFolder(this.folder);
    await this.handle.close();
    this.handle = await fs.open(path.join(this.folder, FILE), 'a+');
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

/** Creates a folder where it is missing, so that a loss of power doesn't take it with what is synced in it. */
async function createFolder(folder: string): Promise<void> {
  const parent = path.dirname(folder);
  await fs.mkdir(parent, { recursive: true });
  const created = await fs.mkdir(folder, { recursive: true });
  if (created !== undefined) await syncFolder(parent);
}

async function writeSynced(file: string, content: Buffer): Promise<void> {
  const handle = await fs.open(file, 'w');
  try {
    await handle.appendFile(content);
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Syncs a folder; a rename in it is durable only after that. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await fs.open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
