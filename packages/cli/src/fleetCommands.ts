/** Implements the commands `targets`, `status` and `stop …`. */
import * as crypto from 'node:crypto';
import type * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import type * as errors from './errors';
import * as operatorsClient from './operatorsClient';
import * as output from './output';

type CommandOutcome = Promise<Result<void, errors.CommandError>>;

/** Command-line names of what a planned stop can cover. */
const SUBJECTS: Record<string, domain.stop.stop.Subject> = {
  target: 'target',
  vm: 'vm',
  'data-centre': 'dataCentre',
};

export async function listTargets(
  client: operatorsClient.OperatorsClient,
  asJson: boolean,
): CommandOutcome {
  const response = await client.get('targets');
  if (response.err) return response;
  const targets = response.val as domain.target.target.Target[];
  if (asJson) output.json(targets);
  else {
    const rows = targets.map(({ name, kind, status, dataCentre, address, load, models }) => {
      const loaded = models.map(({ base, adapter, version }) => `${base}/${adapter}/${version}`);
      const queued = String(load.queuedTokens);
      return [name, kind, status, dataCentre, address, queued, loaded.join(' ')];
    });
    output.table(['target', 'kind', 'status', 'data centre', 'address', 'queued', 'models'], rows);
  }
  return Ok(undefined);
}

export async function showStatus(
  client: operatorsClient.OperatorsClient,
  asJson: boolean,
): CommandOutcome {
  const response = await client.get('status');
  if (response.err) return response;
  if (asJson) {
    output.json(response.val);
    return Ok(undefined);
  }
  const { counters, daemons, members, ...fields } = response.val as Record<string, unknown>;
  output.table(
    ['', ''],
    Object.entries(fields).map(([key, value]) => [key, String(value)]),
  );
  const fleetDaemons = (daemons ?? []) as domain.membership.daemon.Daemon[];
  output.table(
    ['daemon', 'data centre', 'status', 'incarnation'],
    fleetDaemons.map(({ id, dataCentre, status, incarnation }) => {
      return [id, dataCentre, status, String(incarnation)];
    }),
  );
  return Ok(undefined);
}

export async function announceStop(
  client: operatorsClient.OperatorsClient,
  kind: string,
  name: string,
  options: { id?: string; grace: string; json: boolean },
): CommandOutcome {
  const subject = SUBJECTS[kind];
  const graceSeconds = Number(options.grace);
  if (subject === undefined) {
    return Err({
      kind: 'usage',
      message: `unknown kind "${kind}"; expected target, vm or data-centre`,
    });
  }
  if (!(graceSeconds >= 0)) {
    return Err({
      kind: 'usage',
      message: `--grace "${options.grace}": expected a number of seconds`,
    });
  }
  const id = options.id ?? crypto.randomUUID();
  const response = await client.call('POST', 'stops', { id, subject, name, graceSeconds });
  if (response.err) return response;
  if (response.val.status >= 300) return Err(operatorsClient.toCommandError(response.val));
  if (options.json) output.json({ id });
  else output.line(`announced: ${id}`);
  return Ok(undefined);
}

export async function cancelStop(
  client: operatorsClient.OperatorsClient,
  id: string,
): CommandOutcome {
  const response = await client.call('DELETE', `stops/${encodeURIComponent(id)}`);
  if (response.err) return response;
  if (response.val.status >= 300) return Err(operatorsClient.toCommandError(response.val));
  output.line(`cancelled: ${id}`);
  return Ok(undefined);
}

interface StopReport extends domain.stop.stop.Stop {
  progress: string;
  /** Number of requests that the daemons still report as running there. */
  running: number;
  /** Daemons that still run requests there or have not reported. */
  waitingFor: string[];
}

export async function listStops(
  client: operatorsClient.OperatorsClient,
  asJson: boolean,
): CommandOutcome {
  const response = await client.get('stops');
  if (response.err) return response;
  const stops = response.val as StopReport[];
  if (asJson) output.json(stops);
  else {
    const rows = stops.map(({ id, subject, name, progress, running, waitingFor }) => {
      return [id, subject, name, progress, String(running), waitingFor.join(' ')];
    });
    output.table(['id', 'subject', 'name', 'progress', 'running', 'waiting for'], rows);
  }
  return Ok(undefined);
}
