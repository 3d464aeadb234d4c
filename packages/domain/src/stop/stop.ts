/**
 * Planned stops of a target, a VM or a data centre. Announced by an operator or the platform,
 * stored in the replicated log, and applied by every daemon like a setting.
 */

export type Subject = 'target' | 'vm' | 'dataCentre';

export interface Stop {
  id: string;
  subject: Subject;
  name: string;
  author: string;
  at: number;
  /** Grace period of running streams before they are moved to other targets, seconds. */
  graceSeconds: number;
}

/** The location that a stop is matched against. */
export interface StopLocation {
  target: string;
  /** Address without port; a stop of a VM covers everything at this address. */
  host: string;
  dataCentre: string;
}

export function covers(stop: Stop, location: StopLocation): boolean {
  if (stop.subject === 'target') return stop.name === location.target;
  if (stop.subject === 'vm') return stop.name === location.host;
  return stop.name === location.dataCentre;
}

export function stopFor(stops: readonly Stop[], location: StopLocation): Stop | undefined {
  return stops.find((stop) => covers(stop, location));
}

/** Whether the grace period is over, so that streams are moved now. */
export function isGraceOver(stop: Stop, now: number): boolean {
  return now - stop.at > stop.graceSeconds * 1000;
}

/** Number of requests that one daemon still runs on the location of a stop. */
export interface RunningCount {
  stop: string;
  running: number;
}

export type Progress = 'draining' | 'safeToStop';

/** A stop is safe when every live daemon knows it and runs nothing there. */
export function progress(
  stop: Stop,
  daemons: readonly string[],
  runningCounts: ReadonlyMap<string, readonly RunningCount[]>,
): Progress {
  const isDone = daemons.every((id) => {
    const count = runningCounts.get(id)?.find((each) => each.stop === stop.id);
    return count !== undefined && count.running === 0;
  });
  return isDone ? 'safeToStop' : 'draining';
}
