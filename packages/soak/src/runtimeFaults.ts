/**
 * Preloaded into the process of each VM to inject faults: a stepped wall clock and a full or stalled disk. The current
 * faults are in a file that the soak test writes. A second file beside it records how many bytes of each file have been
 * synced, since a power loss preserves no more than these.
 */
import * as fs from 'node:fs';

export type Disk = 'sound' | 'full' | 'stalled';

export interface RuntimeFaults {
  /** Offset of the wall clock, milliseconds. */
  clockMs: number;
  disk: Disk;
}

/** Environment variable that contains the path of the faults file. */
export const FAULTS_FILE_VARIABLE = 'CELERYDRIFT_SOAK_FAULTS';

export const NO_FAULTS: RuntimeFaults = { clockMs: 0, disk: 'sound' };

/** File that maps paths to their synced sizes, beside the faults file. */
export function syncedFile(faultsFile: string): string {
  return `${faultsFile}.synced`;
}

const POLL_INTERVAL_MS = 50;

/** Records the size up to which each file has been synced. */
class SyncedSizes {
  private readonly bytes: Record<string, number> = {};

  constructor(private readonly file: string) {}

  /** A file that existed before counts as synced in full, since a power loss has already truncated it. */
  open(path: string, size: number): void {
    if (this.bytes[path] === undefined) this.record(path, size);
  }

  record(path: string, size: number): void {
    this.bytes[path] = size;
    // Written atomically, as the process may be killed at any time.
    fs.writeFileSync(`${this.file}.new`, JSON.stringify(this.bytes));
    fs.renameSync(`${this.file}.new`, this.file);
  }

  rename(from: string, to: string): void {
    if (this.bytes[from] === undefined) return;
    this.record(to, this.bytes[from]);
    delete this.bytes[from];
  }
}

function installFaults(file: string): void {
  let current = NO_FAULTS;
  const refresh = (): void => {
    try {
      current = JSON.parse(fs.readFileSync(file, 'utf8')) as RuntimeFaults;
    } catch {
      // The file can't be read right now; the next poll reads it again.
    }
  };
  refresh();
  setInterval(refresh, POLL_INTERVAL_MS).unref();
  const { now } = Date;
  Date.now = () => now() + current.clockMs;
  const { open } = fs.promises;
  const syncedSizes = new SyncedSizes(syncedFile(file));
  fs.promises.open = async (...parameters) => {
    const handle = await open(...parameters);
    injectDiskFaults(handle, () => current.disk);
    const path = String(parameters[0]);
    const stat = await handle.stat();
    if (stat.isDirectory()) return handle;
    syncedSizes.open(path, stat.size);
    trackSyncs(handle, path, syncedSizes);
    return handle;
  };
  const { rename } = fs.promises;
  fs.promises.rename = async (from, to) => {
    await rename(from, to);
    syncedSizes.rename(String(from), String(to));
  };
}

function trackSyncs(handle: fs.promises.FileHandle, path: string, syncedSizes: SyncedSizes): void {
  const tracked = (sync: () => Promise<void>) => async () => {
    const { size } = await handle.stat();
    await sync.call(handle);
    syncedSizes.record(path, size);
  };
  handle.datasync = tracked(handle.datasync);
  handle.sync = tracked(handle.sync);
}

function injectDiskFaults(handle: fs.promises.FileHandle, disk: () => Disk): void {
  const waitWhileStalled = async (): Promise<void> => {
    while (disk() === 'stalled') {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_INTERVAL_MS);
      });
    }
  };
  const { appendFile, datasync, sync } = handle;
  handle.appendFile = async (data, options) => {
    await waitWhileStalled();
    if (disk() !== 'full') return appendFile.call(handle, data, options);
    // A full disk interrupts the write halfway and leaves an incomplete frame.
    const bytes = Buffer.from(data as Uint8Array);
    await appendFile.call(handle, bytes.subarray(0, bytes.length / 2));
    throw Object.assign(new Error('ENOSPC: no space left on device'), { code: 'ENOSPC' });
  };
  handle.datasync = async () => {
    await waitWhileStalled();
    await datasync.call(handle);
  };
  handle.sync = async () => {
    await waitWhileStalled();
    await sync.call(handle);
  };
}

const faultsFileOfProcess = process.env[FAULTS_FILE_VARIABLE];
if (faultsFileOfProcess !== undefined) installFaults(faultsFileOfProcess);
