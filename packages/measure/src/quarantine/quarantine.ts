/**
 * Scenario `quarantine`: the cost of the quarantine check for a request that isn't suspect, and the size of a full
 * table of suspect requests in memory and on the wire. Durations are measured on the machine that runs it.
 */
import * as domain from '@celerydrift/domain';
import { fingerprint, registrySnapshots } from '@celerydrift/daemon';

type Quarantine = domain.quarantine.quarantine.Quarantine;

export interface Cost {
  bodyBytes: number;
  /** Microseconds per request while the table is empty. */
  noSuspects: number;
  /** The same with a full table of suspects whose bodies have another length. */
  otherLengths: number;
  /** The same with a full table of suspects whose bodies have the same length, so that it is fingerprinted. */
  sameLength: number;
}

export interface Result {
  costs: Cost[];
  /** Suspects in a full table, its heap and the packed snapshot that a starting entry receives, bytes. */
  full: { suspects: number; heapBytes: number; copyBytes: number };
  /** Time in which a leader processes a crash report that evicts a suspect from a full table, milliseconds. */
  blameFullMs: number;
}

const BODY_BYTES = [300, 25_000, 1_000_000];

const REPEATS = 20_000;

const QUICK_REPEATS = 2_000;

const CRASH_REPORTS = 500;

/** A length that no body of `BODY_BYTES` has. */
const OTHER_BYTES = 7;

function makeTable(suspects: number, bodyBytes: number): Quarantine {
  const quarantine = new domain.quarantine.quarantine.Quarantine();
  for (let i = 0; i < suspects; i++) {
    const lifetime = domain.quarantine.crashedLifetimes.lifetimeKey({ id: `i-${i}`, bornAt: i });
    quarantine.reportCrash(`${bodyBytes}-${i}`, lifetime, { sentAt: i, isTrial: false }, i);
  }
  return quarantine;
}

/** Time of the check that an entry does before it sends a request. */
function lookupMicroseconds(quarantine: Quarantine, body: Buffer, repeats: number): number {
  const request = { host: 'a.example', method: 'POST', path: '/a/1', organisation: 'o', body };
  const check = (): void => {
    if (quarantine.mayHaveSuspect(body.length)) quarantine.standing(fingerprint.of(request));
  };
  for (let i = 0; i < repeats / 10; i++) check();
  const since = performance.now();
  for (let i = 0; i < repeats; i++) check();
  return (1_000 * (performance.now() - since)) / repeats;
}

function usedHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function crashReportMs(full: Quarantine): number {
  const since = performance.now();
  for (let i = 0; i < CRASH_REPORTS; i++) {
    full.reportCrash(
      `${OTHER_BYTES}-new${i}`,
      `new${i}/0`,
      { sentAt: 0, isTrial: false },
      10_000 + i,
    );
  }
  return (performance.now() - since) / CRASH_REPORTS;
}

export async function run(quick: boolean, log: (line: string) => void): Promise<Result> {
  const { MAX_SUSPECTS: maxSuspects } = domain.quarantine.quarantine;
  const costs = BODY_BYTES.map((bodyBytes) => {
    const body = Buffer.alloc(bodyBytes, 'x');
    const defaultRepeats = quick ? QUICK_REPEATS : REPEATS;
    const repeats = Math.max(100, Math.round((defaultRepeats * BODY_BYTES[0]) / bodyBytes));
    const cost = {
      bodyBytes,
      noSuspects: lookupMicroseconds(makeTable(0, 0), body, defaultRepeats),
      otherLengths: lookupMicroseconds(makeTable(maxSuspects, OTHER_BYTES), body, defaultRepeats),
      sameLength: lookupMicroseconds(makeTable(maxSuspects, bodyBytes), body, repeats),
    };
    log(JSON.stringify(cost));
    return cost;
  });
  const before = usedHeapBytes();
  const full = makeTable(maxSuspects, OTHER_BYTES);
  const heapBytes = usedHeapBytes() - before;
  const copyBytes = registrySnapshots.pack({
    records: [],
    suspects: full.reports(0),
    limits: [],
  }).length;
  return {
    costs,
    full: { suspects: maxSuspects, heapBytes, copyBytes },
    blameFullMs: crashReportMs(full),
  };
}
