/**
 * The life of an entry's or a keeper's process: settings, logs, start, reload, planned stop. The adapter
 * to the platform is handed in, so that this program runs wherever its protocols are spoken.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as domain from '@celerydrift/domain';
import * as clock from './clock';
import type * as codecs from './configuration/codecs';
import * as roleSettings from './configuration/roleSettings';
import type * as protocols from './edges/protocols';
import * as entry from './entry/entry';
import type * as listening from './http/listening';
import * as keeper from './keeper/keeper';
import * as boundedOutput from './observability/boundedOutput';
import * as observer from './observability/observer';

export interface Adapter {
  traffic: protocols.TrafficProtocol;
  control: protocols.ControlProtocol;
  /** The callers' listener, where it was begun before the program was loaded. */
  earlyListener?: listening.EarlyListener;
}

interface Process {
  /** State for the metrics, by name. */
  gauges: () => Record<string, number>;
  reload: (settings: roleSettings.Settings) => void;
  stop: () => Promise<void>;
}

/** Exit codes: bad settings, can't start, lost its disk. */
const EXIT = { badSettings: 2, cannotStart: 3, diskFailure: 4 } as const;

/** A settings file may change without a signal; its time of change is looked at so often, milliseconds. */
const FILE_CHECK_INTERVAL_MS = 1_000;

const DROPPED_LINES_REPORT_INTERVAL_MS = 1_000;

function readSettings(file: string): roleSettings.Settings | undefined {
  let text: string;
  try {
    text = fs.readFileSync(file, 'utf8');
  } catch (error) {
    process.stderr.write(`celerydrift: ${file}: ${String(error)}\n`);
    return undefined;
  }
  const read = roleSettings.read(text);
  if (read.ok) return read.val;
  read.val.forEach((problem) => {
    process.stderr.write(`celerydrift: ${file}: ${domain.settings.schema.describe(problem)}\n`);
  });
  return undefined;
}

function createObserver(settings: roleSettings.Settings): observer.Observer {
  const output = new boundedOutput.BoundedOutput(1, clock.steady);
  const stream = { write: (line: string) => output.write(line) } as NodeJS.WritableStream;
  const made = new observer.Observer(settings.name, settings.logLevel, undefined, stream);
  const report = (): void => {
    const lost = output.takeDroppedLines();
    if (lost > 0) made.log('linesDropped', { lines: lost });
  };
  setInterval(report, DROPPED_LINES_REPORT_INTERVAL_MS).unref();
  process.on('exit', () => output.flushSync());
  return made;
}

async function start(
  settings: roleSettings.Settings,
  adapter: Adapter,
  observe: observer.Observer,
): Promise<Process | undefined> {
  const random = domain.shared.random.independent(crypto.randomInt(2 ** 31));
  if (settings.role === 'entry') {
    const made = new entry.Entry({ settings, ...adapter, observer: observe, random });
    await made.start();
    return made;
  }
  const made = new keeper.Keeper({
    settings,
    protocol: adapter.control,
    observer: observe,
    random,
    onDiskFailure: (error) => {
      observe.log('journalCorrupt', { detail: JSON.stringify(error) });
      process.exit(EXIT.diskFailure);
    },
  });
  return (await made.start()) ? made : undefined;
}

/** Serves metrics; loaded when callers are served already, as start-up decides how long a VM is away. */
async function serveMetrics(
  address: codecs.Address,
  observe: observer.Observer,
  started: Process,
): Promise<void> {
  const metricsServer = await import('./observability/metricsServer.js');
  const metrics = new metricsServer.MetricsServer(observe, () => started.gauges());
  await metrics.listen(address).catch((error: unknown) => {
    // Callers are served without metrics too.
    observe.log('metricsUnavailable', { detail: String(error) });
  });
}

/** Calls `onChange` with the settings each time the file holds other valid ones. */
function watchSettingsFile(
  file: string,
  observe: observer.Observer,
  onChange: (settings: roleSettings.Settings) => void,
): void {
  let text = fs.readFileSync(file, 'utf8');
  let changedAt = fs.statSync(file).mtimeMs;
  const look = (): void => {
    const latest = fs.readFileSync(file, 'utf8');
    if (latest === text) return;
    text = latest;
    const settings = readSettings(file);
    observe.log('settingsFileRead', { valid: settings !== undefined });
    if (settings !== undefined) onChange(settings);
  };
  process.on('SIGHUP', look);
  const poll = (): void => {
    const latest = fs.statSync(file, { throwIfNoEntry: false })?.mtimeMs;
    if (latest === undefined || latest === changedAt) return;
    changedAt = latest;
    look();
  };
  setInterval(poll, FILE_CHECK_INTERVAL_MS).unref();
}

/** Runs the process that the settings file describes. */
export async function run(file: string, adapter: Adapter, checkOnly: boolean): Promise<void> {
  const settings = readSettings(file);
  if (settings === undefined) process.exit(EXIT.badSettings);
  if (checkOnly) return;
  const observe = createObserver(settings);
  const started = await start(settings, adapter, observe).catch((error: unknown) => {
    process.stderr.write(`celerydrift: can't start: ${String(error)}\n`);
    return undefined;
  });
  if (started === undefined) process.exit(EXIT.cannotStart);
  if (settings.metrics !== undefined) void serveMetrics(settings.metrics, observe, started);
  const { role, seeds, mayFound } = settings;
  observe.log('started', { role, seeds, mayFound, afterMs: Math.round(clock.steady()) });
  watchSettingsFile(file, observe, (changed) => started.reload(changed));
  let isStopping = false;
  const stop = (signal: string): void => {
    if (isStopping) return;
    isStopping = true;
    observe.log('stopping', { signal });
    void started.stop().then(() => {
      observe.log('stopped');
      process.exit(0);
    });
  };
  process.on('SIGTERM', () => stop('SIGTERM'));
  process.on('SIGINT', () => stop('SIGINT'));
}
