/**
 * Runs the process of an entry or a keeper: settings, logs, start, reload and planned stop. The platform adapter
 * is passed in, so this module doesn't depend on the protocols of a platform.
 */
import * as crypto from 'node:crypto';
import * as domain from '@celerydrift/domain';
import * as clock from './clock';
import type * as codecs from './configuration/codecs';
import type * as roleSettings from './configuration/roleSettings';
import * as settingsFile from './configuration/settingsFile';
import type * as protocols from './edges/protocols';
import * as entry from './entry/entry';
import type * as listening from './http/listening';
import * as keeper from './keeper/keeper';
import * as boundedOutput from './observability/boundedOutput';
import * as observer from './observability/observer';
import * as standardError from './observability/standardError';
import * as unexpectedErrors from './observability/unexpectedErrors';
import * as stateMachine from './replicas/stateMachine';

/** Whether the program was loaded with its code cache, or why not. */
export type CodeCacheState =
  'used' | 'missing' | 'damaged' | 'otherProgram' | 'otherRuntime' | 'rejected';

export interface Adapter {
  traffic: protocols.TrafficProtocol;
  control: protocols.ControlProtocol;
  /** The callers' listener, if it was started before the program was loaded. */
  earlyListener?: listening.EarlyListener;
  /** Identifies the program in the log, so that a log tells which one a process ran. */
  programDigest: string;
  /** What became of the program's code cache; undefined if it was started without the loader. */
  codeCache?: CodeCacheState;
}

/** A running entry or keeper. */
interface Process {
  /** Current state for the metrics, by name. */
  gauges: () => Record<string, number>;
  reload: (settings: roleSettings.Settings) => void;
  stop: () => Promise<void>;
}

/** Process exit codes. */
const EXIT = { badSettings: 2, cannotStart: 3, diskFailure: 4, unexpectedError: 5 } as const;

/** The settings file may change without a signal, so its modification time is polled. */
const FILE_CHECK_INTERVAL_MS = 1_000;

const DROPPED_LINES_REPORT_INTERVAL_MS = 1_000;

function createObserver(settings: roleSettings.Settings): observer.Observer {
  const output = new boundedOutput.BoundedOutput(1, clock.steady);
  const observe = new observer.Observer(settings.name, settings.logLevel, undefined, output);
  const report = (): void => observe.logDroppedLines(output.takeDroppedLines());
  setInterval(report, DROPPED_LINES_REPORT_INTERVAL_MS).unref();
  process.on('exit', () => output.flushSync());
  return observe;
}

async function start(
  settings: roleSettings.Settings,
  adapter: Adapter,
  observe: observer.Observer,
): Promise<Process | undefined> {
  const random = domain.shared.random.independent(crypto.randomInt(2 ** 31));
  if (settings.role === 'entry') {
    const newEntry = new entry.Entry({ settings, ...adapter, observer: observe, random });
    await newEntry.start();
    return newEntry;
  }
  const newKeeper = new keeper.Keeper({
    settings,
    protocol: adapter.control,
    observer: observe,
    random,
    onDiskFailure: (error) => {
      // The replica logs an unknown command itself.
      if (!(error instanceof stateMachine.UnknownCommand))
        observe.log('journalCorrupt', { detail: JSON.stringify(error) });
      process.exit(EXIT.diskFailure);
    },
  });
  return (await newKeeper.start()) ? newKeeper : undefined;
}

/** Serves metrics. Loads the module only after callers are served, to keep the start-up time of a VM short. */
async function serveMetrics(
  address: codecs.Address,
  observe: observer.Observer,
  startedProcess: Process,
): Promise<void> {
  const metricsServer = await import('./observability/metricsServer.js');
  const metrics = new metricsServer.MetricsServer(observe, () => startedProcess.gauges());
  await metrics.listen(address).catch((error: unknown) => {
    // The process keeps serving callers without metrics.
    observe.log('metricsUnavailable', { detail: String(error) });
  });
}

/** Reads the settings file at SIGHUP, when it was modified, and once now, as it may have changed during the start. */
function watchSettingsFile(file: settingsFile.SettingsFile): void {
  process.on('SIGHUP', () => file.reload());
  file.reload();
  setInterval(() => file.poll(), FILE_CHECK_INTERVAL_MS).unref();
}

/** Ends the process once it has stopped, also if the stop fails: nothing else would end it. */
async function stopAndExit(started: Process, observe: observer.Observer): Promise<never> {
  try {
    await started.stop();
  } catch (error) {
    observe.log('crashed', { detail: String(error) });
    process.exit(EXIT.unexpectedError);
  }
  observe.log('stopped');
  process.exit(0);
}

function watchErrors(): unexpectedErrors.UnexpectedErrors {
  const options: unexpectedErrors.Options = {
    now: clock.steady,
    exit: (code) => process.exit(code),
    writeLine: standardError.writeLine,
  };
  const errors = new unexpectedErrors.UnexpectedErrors(options, EXIT.cannotStart);
  errors.listen(process);
  return errors;
}

/** Runs an entry or a keeper, as the settings file says, until a signal stops it. */
export async function run(file: string, adapter: Adapter, checkOnly: boolean): Promise<void> {
  const errors = watchErrors();
  const report = (problem: string): void => standardError.writeLine(`celerydrift: ${problem}`);
  const text = settingsFile.readText(file, report);
  const settings = text === undefined ? undefined : settingsFile.parse(file, text, report);
  if (text === undefined || settings === undefined) process.exit(EXIT.badSettings);
  if (checkOnly) return;
  const observe = createObserver(settings);
  errors.reportTo(observe);
  const started = await start(settings, adapter, observe).catch((error: unknown) => {
    standardError.writeLine(`celerydrift: failed to start: ${String(error)}`);
    return undefined;
  });
  if (started === undefined) process.exit(EXIT.cannotStart);
  errors.exitCode = settings.role === 'keeper' ? EXIT.unexpectedError : undefined;
  if (settings.metrics !== undefined) void serveMetrics(settings.metrics, observe, started);
  const { role, seeds, mayFound } = settings;
  const afterMs = Math.round(clock.steady());
  const { programDigest: program, codeCache } = adapter;
  observe.log('started', { program, codeCache, role, seeds, mayFound, afterMs });
  watchSettingsFile(
    new settingsFile.SettingsFile(file, text, observe, (changed) => started.reload(changed)),
  );
  let isStopping = false;
  const stop = (signal: string): void => {
    if (isStopping) return;
    isStopping = true;
    observe.log('stopping', { signal });
    void stopAndExit(started, observe);
  };
  process.on('SIGTERM', () => stop('SIGTERM'));
  process.on('SIGINT', () => stop('SIGINT'));
}
