/**
 * Turns of those that take much of the event loop, such as connections whose bytes arrive without a pause: one of them goes
 * on in each turn of the loop, in the order in which they began to wait, so that all other work goes on beside them. All
 * parts of a process share the event loop, and so this order.
 */
import * as clock from '../clock';

const waiting = new Map<object, () => void>();

let takenMs = 0;

/** Time that all turns have taken, milliseconds; they take what others leave, so it tells nothing of the load. */
export function totalMs(): number {
  return takenMs;
}

function continueNext(): void {
  const [next] = waiting;
  if (next === undefined) return;
  const [waiter, proceed] = next;
  waiting.delete(waiter);
  const startedAt = clock.steady();
  proceed();
  takenMs += clock.steady() - startedAt;
  if (waiting.size > 0) setImmediate(continueNext);
}

/** Calls `proceed` when it is the waiter's turn, once however often the waiter asks until then. */
export function wait(waiter: object, proceed: () => void): void {
  if (waiting.has(waiter)) return;
  waiting.set(waiter, proceed);
  if (waiting.size === 1) setImmediate(continueNext);
}

export function isWaiting(waiter: object): boolean {
  return waiting.has(waiter);
}
