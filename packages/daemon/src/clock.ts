/**
 * The clocks that decide. Durations within a process are measured on the steady clock, which nobody steps.
 * It stands still while a VM is suspended, so whatever must not be believed after a suspension, such as a
 * lease, is measured on the boot clock, which counts suspensions. The time of day decides nothing.
 */
import * as os from 'node:os';

/** Milliseconds on a clock that is never stepped and stands still during a suspension. */
export function steady(): number {
  return performance.now();
}

/** Milliseconds on a clock that is never stepped and counts suspensions; resolution 10 ms. */
export function sinceBoot(): number {
  return os.uptime() * 1_000;
}

/**
 * The time of day, milliseconds. For people who read the audit trail, and for how long claims of calls are
 * kept, where a step of seconds doesn't matter. Nothing else may use it: it is stepped while processes run.
 */
export function timeOfDay(): number {
  return Date.now();
}
