/** How many descriptors the process may open, of which each listener has its share. */
import * as fs from 'node:fs';

/** The limit of the deployments, which holds where the system doesn't state one. */
const USUAL_LIMIT = 4_096;

const LIMITS_FILE = '/proc/self/limits';

const LIMIT_LINE = /^Max open files\s+(\d+)/m;

function readLimit(): number {
  try {
    const [, soft] = LIMIT_LINE.exec(fs.readFileSync(LIMITS_FILE, 'utf8')) ?? [];
    return soft === undefined ? USUAL_LIMIT : Number(soft);
  } catch {
    return USUAL_LIMIT;
  }
}

let limit: number | undefined;

/** The process's limit of open descriptors; read once, as it doesn't change. */
export function openFilesLimit(): number {
  limit ??= readLimit();
  return limit;
}

/** `share` of the descriptors, at most `maximum`. */
export function shareOf(share: number, maximum: number): number {
  return Math.max(1, Math.min(maximum, Math.floor(openFilesLimit() * share)));
}
