/**
 * Lines of a process that has no log yet. Its standard error may be closed or have no reader any more; a stream would
 * then emit an error, which ends the process where nothing listens for it.
 */
import * as fs from 'node:fs';

const DESCRIPTOR = 2;

export function writeLine(line: string): void {
  try {
    fs.writeSync(DESCRIPTOR, `${line}\n`);
  } catch {
    // Nobody reads it, and there is no other place for it.
  }
}
