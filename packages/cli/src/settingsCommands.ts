/** `celerydrift settings …`: check, show, diff, apply, history. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import type * as errors from './errors';
import * as operatorsClient from './operatorsClient';
import * as output from './output';
import * as textDiff from './textDiff';

type Subtree = domain.settings.tree.Subtree;
type Outcome = Promise<Result<void, errors.CommandError>>;

export interface ApplyOptions {
  id?: string;
  basedOn?: string;
  wait?: boolean;
  json: boolean;
}

interface InForce {
  inForce: number;
  registered: number;
  missing: string[];
}

const WAIT_MS = 30_000;

const POLL_MS = 50;

/** Revision of a subtree that isn't there. */
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
  const read = domain.settings.document.read(text.val);
  if (read.ok) return Ok(undefined);
  return Err({ kind: 'invalid', message: `${file}:\n  ${describeAll(read.val)}` });
}

async function fetch(
  client: operatorsClient.OperatorsClient,
  name: string,
): Promise<Result<Subtree | undefined, errors.CommandError>> {
  const answer = await client.call('GET', `settings/${encodeURIComponent(name)}`);
  if (answer.err) return answer;
  if (answer.val.status === 404) return Ok(undefined);
  if (answer.val.status >= 300) return Err(operatorsClient.refusal(answer.val));
  return Ok(answer.val.content as Subtree);
}

export async function show(
  client: operatorsClient.OperatorsClient,
  name: string | undefined,
  asJson: boolean,
): Outcome {
  if (name === undefined) return showAll(client, asJson);
  const subtree = await fetch(client, name);
  if (subtree.err) return subtree;
  if (subtree.val === undefined) return Err({ kind: 'refused', message: `no subtree ${name}` });
  if (asJson) output.json(subtree.val);
  else {
    const { revision, author, text } = subtree.val;
    output.line(`; ${name}, revision ${revision}, by ${author}`);
    output.line(text);
  }
  return Ok(undefined);
}

async function showAll(client: operatorsClient.OperatorsClient, asJson: boolean): Outcome {
  const answer = await client.get('subtrees');
  if (answer.err) return answer;
  const subtrees = answer.val as Subtree[];
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
): Outcome {
  const text = readFile(file);
  if (text.err) return text;
  const current = await fetch(client, name);
  if (current.err) return current;
  const lines = textDiff.diff(current.val?.text ?? '', text.val);
  if (asJson) output.json({ revision: current.val?.revision ?? NO_REVISION, lines });
  else lines.forEach((each) => output.line(`${each.mark}${each.text}`));
  return Ok(undefined);
}

/** The answer to a change, or why there is none. */
function answerOf(
  answer: operatorsClient.Answer,
): Result<domain.settings.tree.Accepted, errors.CommandError> {
  const content = answer.content as Partial<domain.settings.tree.Answer>;
  if (content.kind === 'accepted') return Ok(content as domain.settings.tree.Accepted);
  if (content.kind === 'conflict') {
    const { subtree, revision, author } = content as domain.settings.tree.Conflict;
    const message = `${subtree} is at revision ${revision} by ${author} now; look at \`settings diff\` and apply again`;
    return Err({ kind: 'conflict', message });
  }
  if (content.kind === 'invalid') {
    const { problems } = content as domain.settings.tree.Invalid;
    return Err({ kind: 'invalid', message: describeAll(problems) });
  }
  if (content.kind === 'reused') {
    return Err({ kind: 'conflict', message: 'this change id was used for other content' });
  }
  return Err(operatorsClient.refusal(answer));
}

export async function apply(
  client: operatorsClient.OperatorsClient,
  name: string,
  file: string,
  options: ApplyOptions,
): Outcome {
  const text = readFile(file);
  if (text.err) return text;
  const basedOn = await baseOf(client, name, options.basedOn);
  if (basedOn.err) return basedOn;
  const id = options.id ?? crypto.randomUUID();
  const body = { id, basedOn: basedOn.val, text: text.val };
  const sent = await sendUntilAnswered(client, `settings/${encodeURIComponent(name)}`, body);
  if (sent.err) return sent;
  const accepted = answerOf(sent.val);
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

async function baseOf(
  client: operatorsClient.OperatorsClient,
  name: string,
  given: string | undefined,
): Promise<Result<number, errors.CommandError>> {
  if (given === undefined) {
    const current = await fetch(client, name);
    return current.map((subtree) => subtree?.revision ?? NO_REVISION);
  }
  const revision = Number(given);
  if (Number.isInteger(revision) && revision >= 0) return Ok(revision);
  return Err({ kind: 'usage', message: `--based-on "${given}": give a revision number` });
}

/** Sends the change again with its id while nobody can say whether it took effect. */
async function sendUntilAnswered(
  client: operatorsClient.OperatorsClient,
  path: string,
  body: unknown,
): Promise<Result<operatorsClient.Answer, errors.CommandError>> {
  const until = Date.now() + WAIT_MS;
  for (;;) {
    const answer = await client.call('PUT', path, body);
    const open = answer.err || answer.val.status === 503;
    if (!open || Date.now() > until) return answer;
    await pause(POLL_MS * 4);
  }
}

async function waitInForce(client: operatorsClient.OperatorsClient, index: number): Outcome {
  const until = Date.now() + WAIT_MS;
  for (;;) {
    const answer = await client.get(`force/${index}`);
    if (answer.ok && (answer.val as InForce).missing.length === 0) return Ok(undefined);
    if (Date.now() > until) {
      const missing = answer.ok ? (answer.val as InForce).missing.join(', ') : 'unknown';
      return Err({ kind: 'timeout', message: `accepted, but not yet in force on: ${missing}` });
    }
    await pause(POLL_MS);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

export async function history(
  client: operatorsClient.OperatorsClient,
  limit: string,
  only: string | undefined,
  asJson: boolean,
): Outcome {
  const answer = await client.get(`audit?limit=${encodeURIComponent(limit)}`);
  if (answer.err) return answer;
  const all = answer.val as domain.control.state.Audit[];
  const entries = only === undefined ? all : all.filter(({ action }) => action === only);
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
