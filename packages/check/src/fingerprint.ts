/** What an object of the domain knows, as text: its maps and sets as lists, and the times in it as ages. */

/** Worlds that differ only in when they are have one text; `times` are the fields that hold a moment. */
export function fingerprintOf(object: unknown, now: number, times: ReadonlySet<string>): string {
  return JSON.stringify(object, (key, value: unknown) => {
    if (value instanceof Map || value instanceof Set) return [...value] as unknown[];
    return times.has(key) && typeof value === 'number' ? now - value : value;
  });
}
