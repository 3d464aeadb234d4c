/**
 * Turns of those that take much of the event loop, such as connections whose bytes arrive without a pause: one of them goes
 * on in each turn of the loop, in the order in which they began to wait, so that all other work goes on beside them. All
 * parts of a process share the event loop, and so this order.
 */
import * as clock from '../clock';

const waiting = new Map<object, () => void>();

let takenMs = 0;

/** Whether the next turn is scheduled already; a waiter may ask for it during its present turn. */
let isScheduled = false;

/** Time that all turns have taken, milliseconds; they take what others leave, so it tells nothing of the load. */
export function totalMs(): number {
  return takenMs;
}

function schedule(): void {
  if (isScheduled || waiting.size === 0) return;
  isScheduled = true;
  setImmediate(continueNext);
}

function continueNext(): void {
  isScheduled = false;
  const [next] = waiting;
  if (next === undefined) return;
  const [waiter, proceed] = next;
  waiting.delete(waiter);
  const startedAt = clock.steady();
  proceed();
  takenMs += clock.steady() - startedAt;
  schedule();
}

/** Calls `proceed` when it is the waiter's turn, once however often the waiter asks until then. */
export function wait(waiter: object, proceed: () => void): void {
  if (waiting.has(waiter)) return;
  waiting.set(waiter, proceed);
  schedule();
}

/** Number of those that wait for their turn. */
export function waiters(): number {
  return waiting.size;
}

export function isWaiting(waiter: object): boolean {
  return waiting.has(waiter);
}
