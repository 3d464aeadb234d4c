/**
 * The settings file of an entry or a keeper. It may change at any time, with a signal or without one, and whoever replaces it
 * may remove it first; a process keeps the settings that it has until it can read valid ones.
 */
import * as fs from 'node:fs';
import * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import * as roleSettings from './roleSettings';

/** Takes a description of why the file isn't usable. */
type Report = (problem: string) => void;

/** Problems of one file that are logged at most. */
const MAX_LOGGED_PROBLEMS = 10;

/** The content of the settings file; undefined if it can't be read. */
export function readText(file: string, report: Report): string | undefined {
  try {
    return fs.readFileSync(file, 'utf8');
  } catch (error) {
    report(`${file}: ${String(error)}`);
    return undefined;
  }
}

export function parse(
  file: string,
  text: string,
  report: Report,
): roleSettings.Settings | undefined {
  const result = roleSettings.read(text);
  if (result.ok) return result.val;
  result.val.forEach((problem) => report(`${file}: ${domain.settings.schema.describe(problem)}`));
  return undefined;
}

/** When the file was last modified; undefined if there is none, or that can't be read. */
function modificationTimeOf(file: string): number | undefined {
  try {
    return fs.statSync(file).mtimeMs;
  } catch {
    return undefined;
  }
}

export class SettingsFile {
  /** Modification time of the file that was last read; 0 before. */
  private modifiedAt = 0;

  constructor(
    private readonly file: string,
    /** Content that was last read. */
    private text: string,
    private readonly observe: Pick<observer.Observer, 'log'>,
    /** Called with the new settings each time the content has changed and is valid. */
    private readonly onChange: (settings: roleSettings.Settings) => void,
  ) {}

  /** Reads the file. */
  reload(): void {
    const modifiedAt = modificationTimeOf(this.file);
    const text = readText(this.file, (detail) =>
      this.observe.log('settingsFileRead', { valid: false, detail }),
    );
    if (text === undefined) return;
    this.modifiedAt = modifiedAt ?? 0;
    if (text !== this.text) this.apply(text);
  }

  /** Reads the file if it was modified since it was last read; it may change without a signal. */
  poll(): void {
    const modifiedAt = modificationTimeOf(this.file);
    if (modifiedAt !== undefined && modifiedAt !== this.modifiedAt) this.reload();
  }

  private apply(text: string): void {
    this.text = text;
    const problems: string[] = [];
    const settings = parse(this.file, text, (problem) => problems.push(problem));
    if (settings === undefined) {
      const logged = problems.slice(0, MAX_LOGGED_PROBLEMS);
      this.observe.log('settingsFileRead', { valid: false, problems: logged });
      return;
    }
    this.observe.log('settingsFileRead', { valid: true });
    this.onChange(settings);
  }
}
