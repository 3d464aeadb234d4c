/** Implements `settings check`, `show`, `diff`, `apply` and `history`, and `audit`. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import type * as errors from './errors';
import * as operatorsClient from './operatorsClient';
import * as output from './output';
import * as textDiff from './textDiff';

type Subtree = domain.settings.tree.Subtree;
type CommandOutcome = Promise<Result<void, errors.CommandError>>;

export interface ApplyOptions {
  id?: string;
  basedOn?: string;
  wait?: boolean;
  json: boolean;
}

/** On how many daemons a change is in force. */
interface RolloutStatus {
  inForce: number;
  registered: number;
  /** Daemons on which the change is not yet in force. */
  missing: string[];
}

const WAIT_TIMEOUT_MS = 30_000;

const POLL_INTERVAL_MS = 50;

/** Revision of a subtree that does not exist. */
const NO_REVISION = 0;

function readFile(file: string): Result<string, errors.CommandError> {
  try {
    return Ok(fs.readFileSync(file === '-' ? 0 : file, 'utf8'));
  } catch (error) {
    return Err({ kind: 'usage', message: `${file}: ${String(error)}` });
  }
}

function describeAll(problems: readonly domain.settings.schema.Problem[]): string {
  return problems.map(domain.settings.schema.describe).join('\n  ');
}

export function check(file: string): Result<void, errors.CommandError> {
  const text = readFile(file);
  if (text.err) return text;
  const parsed = domain.settings.document.parse(text.val);
  if (parsed.ok) return Ok(undefined);
  return Err({ kind: 'invalid', message: `${file}:\n  ${describeAll(parsed.val)}` });
}

async function fetchSubtree(
  client: operatorsClient.OperatorsClient,
  name: string,
): Promise<Result<Subtree | undefined, errors.CommandError>> {
  const response = await client.call('GET', `settings/${encodeURIComponent(name)}`);
  if (response.err) return response;
  if (response.val.status === 404) return Ok(undefined);
  if (response.val.status >= 300) return Err(operatorsClient.toCommandError(response.val));
  return Ok(response.val.content as Subtree);
}

export async function show(
  client: operatorsClient.OperatorsClient,
  name: string | undefined,
  asJson: boolean,
): CommandOutcome {
  if (name === undefined) return listSubtrees(client, asJson);
  const subtree = await fetchSubtree(client, name);
  if (subtree.err) return subtree;
  if (subtree.val === undefined)
    return Err({ kind: 'refused', message: `subtree "${name}" does not exist` });
  if (asJson) output.json(subtree.val);
  else {
    const { revision, author, text } = subtree.val;
    output.line(`; ${name}, revision ${revision}, by ${author}`);
    output.line(text);
  }
  return Ok(undefined);
}

async function listSubtrees(
  client: operatorsClient.OperatorsClient,
  asJson: boolean,
): CommandOutcome {
  const response = await client.get('subtrees');
  if (response.err) return response;
  const subtrees = response.val as Subtree[];
  if (asJson) output.json(subtrees);
  else {
    const rows = subtrees.map(({ name, revision, author, at }) => {
      return [name, String(revision), author, new Date(at).toISOString()];
    });
    output.table(['subtree', 'revision', 'author', 'changed'], rows);
  }
  return Ok(undefined);
}

export async function diff(
  client: operatorsClient.OperatorsClient,
  name: string,
  file: string,
  asJson: boolean,
): CommandOutcome {
  const text = readFile(file);
  if (text.err) return text;
  const current = await fetchSubtree(client, name);
  if (current.err) return current;
  const lines = textDiff.diff(current.val?.text ?? '', text.val);
  if (asJson) output.json({ revision: current.val?.revision ?? NO_REVISION, lines });
  else lines.forEach((each) => output.line(`${each.mark}${each.text}`));
  return Ok(undefined);
}

/** The accepted change, or the error that the response describes. */
function toAccepted(
  response: operatorsClient.ApiResponse,
): Result<domain.settings.tree.Accepted, errors.CommandError> {
  const content = response.content as Partial<domain.settings.tree.Answer>;
  if (content.kind === 'accepted') return Ok(content as domain.settings.tree.Accepted);
  if (content.kind === 'conflict') {
    const { subtree, revision, author } = content as domain.settings.tree.Conflict;
    const message = `${subtree} was changed to revision ${revision} by ${author}; run \`settings diff\`, then apply again`;
    return Err({ kind: 'conflict', message });
  }
  if (content.kind === 'invalid') {
    const { problems } = content as domain.settings.tree.Invalid;
    return Err({ kind: 'invalid', message: describeAll(problems) });
  }
  if (content.kind === 'reused') {
    return Err({
      kind: 'conflict',
      message: 'this change id was already used for a different change',
    });
  }
  return Err(operatorsClient.toCommandError(response));
}

export async function apply(
  client: operatorsClient.OperatorsClient,
  name: string,
  file: string,
  options: ApplyOptions,
): CommandOutcome {
  const text = readFile(file);
  if (text.err) return text;
  const basedOn = await resolveBaseRevision(client, name, options.basedOn);
  if (basedOn.err) return basedOn;
  const id = options.id ?? crypto.randomUUID();
  const body = { id, basedOn: basedOn.val, text: text.val };
  const sent = await sendUntilAnswered(client, `settings/${encodeURIComponent(name)}`, body);
  if (sent.err) return sent;
  const accepted = toAccepted(sent.val);
  if (accepted.err) return accepted;
  const { revision, index } = accepted.val;
  if (options.wait === true) {
    const waited = await waitInForce(client, index);
    if (waited.err) return waited;
  }
  if (options.json) output.json({ ...accepted.val, id });
  else output.line(`accepted: ${name} revision ${revision}, log index ${index}, change ${id}`);
  return Ok(undefined);
}

async function resolveBaseRevision(
  client: operatorsClient.OperatorsClient,
  name: string,
  basedOn: string | undefined,
): Promise<Result<number, errors.CommandError>> {
  if (basedOn === undefined) {
    const current = await fetchSubtree(client, name);
    return current.map((subtree) => subtree?.revision ?? NO_REVISION);
  }
  const revision = Number(basedOn);
  if (Number.isInteger(revision) && revision >= 0) return Ok(revision);
  return Err({ kind: 'usage', message: `--based-on "${basedOn}": expected a revision number` });
}

/** Resends the change with the same id while it is unknown whether it took effect. */
async function sendUntilAnswered(
  client: operatorsClient.OperatorsClient,
  path: string,
  body: unknown,
): Promise<Result<operatorsClient.ApiResponse, errors.CommandError>> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS;
  for (;;) {
    const response = await client.call('PUT', path, body);
    const isUndecided = response.err || response.val.status === 503;
    if (!isUndecided || Date.now() > deadline) return response;
    await sleep(POLL_INTERVAL_MS * 4);
  }
}

async function waitInForce(client: operatorsClient.OperatorsClient, index: number): CommandOutcome {
  const deadline = Date.now() + WAIT_TIMEOUT_MS;
  for (;;) {
    const response = await client.get(`force/${index}`);
    if (response.ok && (response.val as RolloutStatus).missing.length === 0) return Ok(undefined);
    if (Date.now() > deadline) {
      const missing = response.ok ? (response.val as RolloutStatus).missing.join(', ') : 'unknown';
      return Err({ kind: 'timeout', message: `accepted, but not yet in force on: ${missing}` });
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

export async function history(
  client: operatorsClient.OperatorsClient,
  limit: string,
  actionFilter: string | undefined,
  asJson: boolean,
): CommandOutcome {
  const response = await client.get(`audit?limit=${encodeURIComponent(limit)}`);
  if (response.err) return response;
  const records = response.val as domain.control.state.AuditEntry[];
  const entries =
    actionFilter === undefined ? records : records.filter(({ action }) => action === actionFilter);
  if (asJson) output.json(entries);
  else {
    const rows = entries.map(({ index, at, author, address, action, subject, detail }) => {
      const when = new Date(at).toISOString();
      return [String(index), when, author, address, action, subject, detail.slice(0, 60)];
    });
    output.table(['index', 'at', 'author', 'from', 'action', 'subject', 'detail'], rows);
  }
  return Ok(undefined);
}
