/** Checks that memory is bounded and released. */
import * as layout from './layout';
import type * as observations from './observations';
import type * as violation from './violation';

type Observations = observations.Observations;
type Violation = violation.Violation;

export function exceededMemory({ memory }: Observations): Violation[] {
  const excesses = memory.filter(({ bytes }) => bytes > layout.VM_MEMORY_BYTES);
  return [...new Set(excesses.map(({ entry }) => entry))].map((entry) => {
    const all = excesses.filter((each) => each.entry === entry).map(({ bytes }) => bytes);
    const detail = `entry ${entry}: ${Math.round(Math.max(...all) / 1_024 ** 2)} MB`;
    return { promise: 'memoryExceeded', detail };
  });
}

export function leftReservations({ reservationsLeft }: Observations): Violation[] {
  const detail = `${reservationsLeft} reservations left`;
  return reservationsLeft === 0 ? [] : [{ promise: 'memoryLeft', detail }];
}
