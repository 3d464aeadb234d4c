/**
 * The clocks. Durations within a process are measured on the steady clock, which nobody steps. It stands
 * still while a VM is suspended, so whatever must not be believed after a suspension, such as a lease, also
 * looks at the time of day, which goes on. The time of day is stepped while processes run, so it may only
 * make an age longer: a step forward ends a lease early, and the next confirmation starts it again.
 */

/** Milliseconds on a clock that is never stepped and stands still during a suspension. */
export function steady(): number {
  return performance.now();
}

/**
 * The time of day, milliseconds. For people who read the audit trail, for how long claims of calls are kept,
 * where a step of seconds doesn't matter, and for noticing a suspension.
 */
export function timeOfDay(): number {
  return Date.now();
}

/** A moment on both clocks. */
export interface Moment {
  steady: number;
  timeOfDay: number;
}

/** Before all moments: its age is infinite. */
export const NEVER: Moment = { steady: -Infinity, timeOfDay: -Infinity };

export function moment(): Moment {
  return { steady: steady(), timeOfDay: timeOfDay() };
}

/**
 * Milliseconds from one moment to another, at least. Counts a suspension between them, unless the time of day
 * was stepped back by as much meanwhile; a daemon that runs again asks its leader within half a second.
 */
export function elapsed(from: Moment, to: Moment): number {
  return Math.max(to.steady - from.steady, to.timeOfDay - from.timeOfDay);
}

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
