/**
 * The last resort for errors that nobody handled. Without it Node.js ends the process at the first unhandled rejection,
 * and an entry would take all its open requests with it; here each error is counted and logged, and the process goes on.
 *
 * An uncaught exception leaves the work of one event unfinished, and what follows depends on `exitCode`:
 *
 * - An entry goes on. Its state is soft: each request has its own, and what it knows of targets is replaced by the next
 *   poll. The harm is at most one request that waits until its time limit, against all open ones.
 * - A keeper ends after it has written its line, with a code of its own. It may have applied half a step and would
 *   serve and acknowledge that; at its restart it replays the journal. Its requests are in no danger: another keeper
 *   leads meanwhile, and whoever announced or submitted something is not acknowledged and sends it again.
 * - Before it is started, every process ends: it holds no request yet, and half-started it would never hold one.
 *
 * A rejection never ends a process. The steps of a replica aren't exposed to it, as the replica's host handles their errors
 * itself and recovers from the journal.
 */
import * as util from 'node:util';
import type * as observer from './observer';

export type Source = 'rejection' | 'exception';

/** The part of `process` that reports unhandled errors. */
export interface ErrorSource {
  on(
    event: 'unhandledRejection' | 'uncaughtException',
    listener: (error: unknown) => void,
  ): unknown;
}

export interface Options {
  now: () => number;
  exit: (code: number) => void;
  /** Takes the line of an error that occurs before there is an observer. */
  writeLine: (line: string) => void;
}

/** Longest description in a log line, characters. */
const MAX_DETAIL_CHARACTERS = 4_096;

/** Lines that may be logged at once, and the time after which one more may be, milliseconds. */
const MAX_BURST_LINES = 10;
const LINE_INTERVAL_MS = 1_000;

export class UnexpectedErrors {
  /** Exit code at an uncaught exception; undefined if the process goes on. */
  exitCode: number | undefined;

  private observer: Pick<observer.Observer, 'log' | 'count'> | undefined;

  private availableLines = MAX_BURST_LINES;

  private refilledAt: number;

  /** Errors that left no line since the last one. */
  private withheld = 0;

  constructor(
    private readonly options: Options,
    /** Exit code until the process is started. */
    startExitCode: number,
  ) {
    this.exitCode = startExitCode;
    this.refilledAt = options.now();
  }

  listen(source: ErrorSource): void {
    source.on('unhandledRejection', (reason) => this.handle('rejection', reason));
    source.on('uncaughtException', (error) => this.handle('exception', error));
  }

  reportTo(observe: Pick<observer.Observer, 'log' | 'count'>): void {
    this.observer = observe;
  }

  /** An error in here would end the process, so nothing that it reports is trusted to be an error. */
  private handle(source: Source, error: unknown): void {
    const exitCode = source === 'exception' ? this.exitCode : undefined;
    this.observer?.count(`errors.unexpected.${source}`);
    if (exitCode !== undefined || this.takeLine()) this.report(source, describe(error));
    else this.withheld += 1;
    if (exitCode !== undefined) this.options.exit(exitCode);
  }

  private report(source: Source, detail: string): void {
    if (this.observer === undefined) {
      this.options.writeLine(`celerydrift: unexpected error (${source}): ${detail}`);
      return;
    }
    const { withheld } = this;
    this.withheld = 0;
    this.observer.log('crashed', { source, detail, ...(withheld > 0 && { withheld }) });
  }

  private takeLine(): boolean {
    const now = this.options.now();
    const gained = (now - this.refilledAt) / LINE_INTERVAL_MS;
    this.availableLines = Math.min(MAX_BURST_LINES, this.availableLines + gained);
    this.refilledAt = now;
    if (this.availableLines < 1) return false;
    this.availableLines -= 1;
    return true;
  }
}

/** The stack of an error, or whatever else was thrown. */
function describe(error: unknown): string {
  try {
    const stack = error instanceof Error ? error.stack : undefined;
    const text = typeof stack === 'string' ? stack : util.inspect(error, { depth: 2 });
    return text.slice(0, MAX_DETAIL_CHARACTERS);
  } catch {
    return 'error that can’t be described';
  }
}
