/** Implements the commands `evacuate` and `evacuations`. */
import type * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import type * as errors from './errors';
import * as keepersClient from './keepersClient';
import * as output from './output';

type CommandOutcome = Promise<Result<void, errors.CommandError>>;

interface Listing extends domain.evacuation.evacuations.EvacuationState {
  inForce: { entries: number; of: number; behind: string[] };
}

const PATH = '/celerydrift/evacuations';

/** Orders an evacuation, or its end. */
export async function order(
  client: keepersClient.KeepersClient,
  dataCentre: string,
  options: { end: boolean; json: boolean },
): CommandOutcome {
  const method = options.end ? 'DELETE' : 'POST';
  const response = await client.call(method, `${PATH}/${encodeURIComponent(dataCentre)}`);
  if (response.err) return response;
  if (response.val.status !== 200) return Err(refusalOf(response.val));
  if (options.json) output.json(response.val.content);
  else output.line(`${options.end ? 'evacuation ended' : 'evacuated'}: ${dataCentre}`);
  return Ok(undefined);
}

export async function list(client: keepersClient.KeepersClient, asJson: boolean): CommandOutcome {
  const response = await client.call('GET', PATH);
  if (response.err) return response;
  if (response.val.status !== 200) return Err(refusalOf(response.val));
  const { evacuations, revision, inForce } = response.val.content as Listing;
  if (asJson) {
    output.json(response.val.content);
    return Ok(undefined);
  }
  const rows = evacuations.map(({ dataCentre, startedAt, requestedBy }) => {
    return [dataCentre, new Date(startedAt).toISOString(), requestedBy];
  });
  output.table(['data centre', 'since', 'requested by'], rows);
  output.line(`revision ${revision} in force at ${inForce.entries} of ${inForce.of} entries`);
  if (inForce.behind.length > 0) output.line(`behind: ${inForce.behind.join(', ')}`);
  return Ok(undefined);
}

function refusalOf({ status, content }: keepersClient.KeeperAnswer): errors.CommandError {
  if (status === 404 && content === undefined) {
    return { kind: 'refused', message: 'evacuation is off at the keepers: set evacuation-ms' };
  }
  const { error, known } = (content ?? {}) as { error?: string; known?: string[] };
  const choices = known === undefined ? '' : `; known: ${known.join(', ')}`;
  return { kind: 'refused', message: `${status}: ${error ?? 'no reason given'}${choices}` };
}
