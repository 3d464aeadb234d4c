/**
 * The clocks of a process. Durations are measured on the steady (monotonic) clock, which is never stepped but
 * stops while a VM is suspended. Whatever expires, such as a lease, therefore also checks the time of day (wall
 * clock), which advances during a suspension. As the time of day can be stepped at any moment, it may only
 * lengthen an age: a step forward ends a lease early, and the next confirmation renews it.
 */

/** Milliseconds on the monotonic clock, which is never stepped and stops during a suspension. */
export function steady(): number {
  return performance.now();
}

/**
 * The time of day, in milliseconds. Used for the audit trail, for the retention of claims, where a step of
 * seconds doesn't matter, and to detect a suspension.
 */
export function timeOfDay(): number {
  return Date.now();
}

/** Both clocks, read together. */
export interface ClockReading {
  steady: number;
  timeOfDay: number;
}

/** Earlier than any reading: its age is infinite. */
export const NEVER: ClockReading = { steady: -Infinity, timeOfDay: -Infinity };

export function readClocks(): ClockReading {
  return { steady: steady(), timeOfDay: timeOfDay() };
}

/**
 * Milliseconds between two readings: the larger difference of the two clocks, so that an age is never too short.
 * Only a suspension during which the time of day is stepped back by as much is missed; a resumed daemon contacts
 * its leader within half a second.
 */
export function elapsed(from: ClockReading, to: ClockReading): number {
  return Math.max(to.steady - from.steady, to.timeOfDay - from.timeOfDay);
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Turns of the event loop in which a connection is opened, authenticated, and a call over it answered. */
const TURNS_OF_A_CALL = 4;

/**
 * Calls back when the events that had arrived before have been handled, and those that these lead to. After a stall the
 * timers of a process fire before what arrived meanwhile is read, and under overload each turn of its event loop takes
 * long: a timeout must not take that delay for the silence of others. An idle process needs less than a millisecond.
 */
export function afterPendingEvents(onHandled: () => void): () => void {
  let turns = TURNS_OF_A_CALL;
  let immediate: NodeJS.Immediate;
  const next = (): void => {
    if (turns === 0) {
      onHandled();
      return;
    }
    turns -= 1;
    immediate = setImmediate(next);
  };
  next();
  return () => clearImmediate(immediate);
}

/** Calls `onTimeout` after `ms` and after pending events; the result cancels that. */
export function startTimeout(ms: number, onTimeout: () => void): () => void {
  let cancelPending = (): void => undefined;
  const timer = setTimeout(() => {
    cancelPending = afterPendingEvents(onTimeout);
  }, ms);
  return () => {
    clearTimeout(timer);
    cancelPending();
  };
}
