/**
 * Scenario `quarantine`: what the guard against requests that crash targets costs a request that nobody suspects, and what a
 * full table takes in memory and on the wire. Times are this machine's.
 */
import * as domain from '@celerydrift/domain';
import { fingerprint, registryCopies } from '@celerydrift/daemon';

type Quarantine = domain.quarantine.quarantine.Quarantine;

export interface Cost {
  bodyBytes: number;
  /** Microseconds a request, by what the table holds. */
  noSuspects: number;
  otherLengths: number;
  sameLength: number;
}

export interface Result {
  costs: Cost[];
  /** Suspects of a full table, its heap and its packed copy for an entry that starts, bytes. */
  full: { suspects: number; heapBytes: number; copyBytes: number };
  /** Milliseconds that a leader takes for a blame that must make room in a full table. */
  blameFullMs: number;
}

const BODY_BYTES = [300, 25_000, 1_000_000];

const REPEATS = 20_000;

const QUICK_REPEATS = 2_000;

const CRASH_REPORTS = 500;

/** Length of bodies that no measured request has. */
const OTHER_BYTES = 7;

function makeTable(suspects: number, bodyBytes: number): Quarantine {
  const made = new domain.quarantine.quarantine.Quarantine();
  for (let i = 0; i < suspects; i++) {
    const lifetime = domain.quarantine.endedLifetimes.lifetimeOf({ id: `i-${i}`, bornAt: i });
    made.blame(`${bodyBytes}-${i}`, lifetime, { sentAt: i, isTrial: false }, i);
  }
  return made;
}

/** What an entry does before it sends a request. */
function lookupMicroseconds(quarantine: Quarantine, body: Buffer, repeats: number): number {
  const content = { host: 'a.example', method: 'POST', path: '/a/1', organisation: 'o', body };
  const look = (): void => {
    if (quarantine.mayKnow(body.length)) quarantine.standing(fingerprint.of(content));
  };
  for (let i = 0; i < repeats / 10; i++) look();
  const since = performance.now();
  for (let i = 0; i < repeats; i++) look();
  return (1_000 * (performance.now() - since)) / repeats;
}

function usedHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function crashReportMs(full: Quarantine): number {
  const since = performance.now();
  for (let i = 0; i < CRASH_REPORTS; i++) {
    full.blame(`${OTHER_BYTES}-new${i}`, `new${i}/0`, { sentAt: 0, isTrial: false }, 10_000 + i);
  }
  return (performance.now() - since) / CRASH_REPORTS;
}

export async function run(quick: boolean, say: (line: string) => void): Promise<Result> {
  const { MOST_SUSPECTS: most } = domain.quarantine.quarantine;
  const costs = BODY_BYTES.map((bodyBytes) => {
    const body = Buffer.alloc(bodyBytes, 'x');
    const usual = quick ? QUICK_REPEATS : REPEATS;
    const repeats = Math.max(100, Math.round((usual * BODY_BYTES[0]) / bodyBytes));
    const cost = {
      bodyBytes,
      noSuspects: lookupMicroseconds(makeTable(0, 0), body, usual),
      otherLengths: lookupMicroseconds(makeTable(most, OTHER_BYTES), body, usual),
      sameLength: lookupMicroseconds(makeTable(most, bodyBytes), body, repeats),
    };
    say(JSON.stringify(cost));
    return cost;
  });
  const before = usedHeapBytes();
  const full = makeTable(most, OTHER_BYTES);
  const heapBytes = usedHeapBytes() - before;
  const copyBytes = registryCopies.pack({
    records: [],
    suspects: full.reports(0),
    limits: [],
  }).length;
  return {
    costs,
    full: { suspects: most, heapBytes, copyBytes },
    blameFullMs: crashReportMs(full),
  };
}
