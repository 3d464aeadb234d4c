/**
 * JSON of clients, which may take a hundred times its bytes once it is parsed: a list of empty lists has a value every
 * three bytes. Its values are counted before it is parsed.
 */

/** Most values and names of a text; a document with ten thousand routes has fewer. */
const MAX_VALUES = 500_000;

/** Most lists and objects within each other. */
const MAX_DEPTH = 100;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING = new Set([0x5b, 0x7b]);
const CLOSING = new Set([0x5d, 0x7d]);
const SEPARATORS = new Set([0x2c, 0x3a]);

/** Handled like a text that isn't JSON. */
export class ExcessiveJsonError extends SyntaxError {}

/** Index behind the string that begins before `start`. */
function endOfString(text: Buffer, start: number): number {
  let i = start;
  while (i < text.length && text[i] !== QUOTE) i += text[i] === BACKSLASH ? 2 : 1;
  return i + 1;
}

/** Why a text would take too much memory, whether or not it is JSON; undefined if it wouldn't. */
export function excessOf(text: Buffer): string | undefined {
  let values = 1;
  let depth = 0;
  for (let i = 0; i < text.length;) {
    const byte = text[i];
    i += 1;
    if (byte === QUOTE) i = endOfString(text, i);
    else if (SEPARATORS.has(byte)) values += 1;
    else if (CLOSING.has(byte)) depth -= 1;
    else if (OPENING.has(byte)) {
      values += 1;
      depth += 1;
      if (depth > MAX_DEPTH) return `more than ${MAX_DEPTH} lists and objects within each other`;
    }
  }
  return values > MAX_VALUES ? `more than ${MAX_VALUES} values` : undefined;
}

/** @throws SyntaxError when the text isn't JSON, or would take too much memory */
export function parse(text: Buffer): unknown {
  const excess = excessOf(text);
  if (excess !== undefined) throw new ExcessiveJsonError(excess);
  return JSON.parse(text.toString('utf8'));
}
