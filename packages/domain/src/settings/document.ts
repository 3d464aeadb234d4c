/**
 * One subtree of the settings, written by its team: an INI text with a section for each
 * organisation, model, service and operator. The text is parsed into a typed document or the list
 * of all problems, each with section, key, value and fix.
 */
import { Err, Ok, Result } from 'ts-results';
import * as schema from './schema';

export type Priority = 'high' | 'normal' | 'low';

/** An organisation: its keys, limits and weight against others. */
export interface Organisation {
  name: string;
  /** SHA-256 of the bearer keys, in hex. */
  keyHashes: string[];
  /** Weight in fair queueing; tokens are shared in proportion to it. */
  share: number;
  /** Limit for all daemons together; zero means no limit. */
  tokensPerSecond: number;
  priority: Priority;
  /** Deadline of a request, in seconds, if the caller gives none. */
  deadlineSeconds: number;
}

/** A model name for callers, and what an engine loads for it. */
export interface Model {
  name: string;
  base: string;
  adapter: string;
  version: string;
  /** Names of the organisations that may use it; `*` allows all of the subtree. */
  organisations: string[];
}

/** A plain service and its calls that may not be repeated. */
export interface Service {
  name: string;
  organisations: string[];
  /** Method and path prefix of calls that run at most once, such as `POST /holds`. */
  notRepeatable: string[];
  timeoutSeconds: number;
}

/** An operator who may change this subtree. */
export interface Operator {
  name: string;
  tokenHash: string;
}

export interface Document {
  organisations: Organisation[];
  models: Model[];
  services: Service[];
  operators: Operator[];
}

/** Maximum length of the text of one subtree, in characters. */
export const MAX_TEXT_LENGTH = 256 * 1024;

/** Default values of optional keys. */
export const DEFAULTS = {
  share: '1',
  'tokens-per-second': '0',
  priority: 'normal',
  'deadline-seconds': '600',
  adapter: '',
  version: '1',
  organisations: '*',
  'not-repeatable': '',
  'timeout-seconds': '30',
} as const;

const PRIORITIES: readonly string[] = ['high', 'normal', 'low'];

const CODECS = {
  hashes: schema.textCodec(
    'hashes',
    schema.hashes,
    'give sha256:<64 hex digits>, several separated by commas',
  ),
  share: schema.textCodec('share', schema.numberIn(0.01, 1000), 'give a number from 0.01 to 1000'),
  rate: schema.textCodec(
    'rate',
    schema.numberIn(0, 1e9),
    'give tokens per second from 0 (no limit) to 1e9',
  ),
  seconds: schema.textCodec('seconds', schema.numberIn(0.1, 3600), 'give seconds from 0.1 to 3600'),
  priority: schema.textCodec<Priority>(
    'priority',
    (text) => (PRIORITIES.includes(text) ? (text as Priority) : undefined),
    'give one of high, normal, low',
  ),
  name: schema.textCodec(
    'name',
    (text) => (schema.NAME.test(text) ? text : undefined),
    'give a name of lower-case letters, digits, dot, dash, underscore',
  ),
  optionalName: schema.textCodec(
    'optionalName',
    (text) => (text === '' || schema.NAME.test(text) ? text : undefined),
    'leave it out or give a name of lower-case letters, digits, dot, dash, underscore',
  ),
  names: schema.textCodec('names', schema.names, 'give * or names separated by commas'),
  calls: schema.textCodec(
    'calls',
    (text) =>
      schema.list(text).every((call) => /^[A-Z]+ \/\S*$/.test(call))
        ? schema.list(text)
        : undefined,
    'give calls such as "POST /holds", separated by commas',
  ),
};

const SECTIONS: Record<string, schema.Fields> = {
  organisation: {
    key: CODECS.hashes,
    share: CODECS.share,
    'tokens-per-second': CODECS.rate,
    priority: CODECS.priority,
    'deadline-seconds': CODECS.seconds,
  },
  model: {
    base: CODECS.name,
    adapter: CODECS.optionalName,
    version: CODECS.name,
    organisations: CODECS.names,
  },
  service: {
    organisations: CODECS.names,
    'not-repeatable': CODECS.calls,
    'timeout-seconds': CODECS.seconds,
  },
  operator: { token: CODECS.hashes },
};

function organisationOf(name: string, values: schema.Values): Organisation {
  return {
    name,
    keyHashes: values.get('key') as string[],
    share: values.get('share') as number,
    tokensPerSecond: values.get('tokens-per-second') as number,
    priority: values.get('priority') as Priority,
    deadlineSeconds: values.get('deadline-seconds') as number,
  };
}

function modelOf(name: string, values: schema.Values): Model {
  return {
    name,
    base: values.get('base') as string,
    adapter: values.get('adapter') as string,
    version: values.get('version') as string,
    organisations: values.get('organisations') as string[],
  };
}

function serviceOf(name: string, values: schema.Values): Service {
  return {
    name,
    organisations: values.get('organisations') as string[],
    notRepeatable: values.get('not-repeatable') as string[],
    timeoutSeconds: values.get('timeout-seconds') as number,
  };
}

function addSection(document: Document, kind: string, name: string, values: schema.Values): void {
  if (kind === 'organisation') document.organisations.push(organisationOf(name, values));
  if (kind === 'model') document.models.push(modelOf(name, values));
  if (kind === 'service') document.services.push(serviceOf(name, values));
  if (kind === 'operator') {
    document.operators.push({ name, tokenHash: (values.get('token') as string[])[0] });
  }
}

function danglingReferences(document: Document): schema.Problem[] {
  const organisationNames = new Set(document.organisations.map(({ name }) => name));
  const owners = [
    ...document.models.map((model) => ({ section: `model.${model.name}`, ...model })),
    ...document.services.map((service) => ({ section: `service.${service.name}`, ...service })),
  ];
  return owners.flatMap(({ section, organisations }) =>
    organisations
      .filter((name) => name !== '*' && !organisationNames.has(name))
      .map((name) => ({
        section,
        key: 'organisations',
        value: name,
        mend: `add a section [organisation.${name}] or take the name out`,
      })),
  );
}

function decodeSection(
  document: Document,
  section: string,
  raw: Record<string, unknown>,
  problems: schema.Problem[],
): void {
  const [kind, ...rest] = section.split('.');
  const name = rest.join('.');
  const fields = SECTIONS[kind ?? ''];
  if (fields === undefined || !schema.NAME.test(name)) {
    const mend = 'use [organisation.NAME], [model.NAME], [service.NAME] or [operator.NAME]';
    problems.push({ section, key: '', value: section, mend });
    return;
  }
  const before = problems.length;
  const values = schema.decodeFields(section, fields, raw, DEFAULTS, problems);
  if (problems.length === before) addSection(document, kind ?? '', name, values);
}

/** Parses the text of a subtree; fails with all problems in it. */
export function parse(text: string): Result<Document, schema.Problem[]> {
  if (text.length > MAX_TEXT_LENGTH) {
    const mend = `keep a subtree under ${MAX_TEXT_LENGTH} characters`;
    return Err([{ section: '', key: '', value: `${text.length} characters`, mend }]);
  }
  const document: Document = { organisations: [], models: [], services: [], operators: [] };
  const problems: schema.Problem[] = [];
  schema.sectionsOf(text).forEach((raw, section) => {
    decodeSection(document, section, raw, problems);
  });
  if (problems.length === 0) problems.push(...danglingReferences(document));
  return problems.length === 0 ? Ok(document) : Err(problems);
}
