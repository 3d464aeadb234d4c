/** Serialises domain objects as text: maps and sets as lists, and times as ages. */

/** States that differ only by a shift in time have the same fingerprint; `times` are the fields that contain a time. */
export function fingerprintOf(object: unknown, now: number, times: ReadonlySet<string>): string {
  return JSON.stringify(object, (key, value: unknown) => {
    if (value instanceof Map || value instanceof Set) return [...value] as unknown[];
    return times.has(key) && typeof value === 'number' ? now - value : value;
  });
}
