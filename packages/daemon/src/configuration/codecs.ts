/** Codecs for the values in the settings files of daemons, entries and keepers. */
import * as net from 'node:net';
import * as domain from '@celerydrift/domain';

const { schema } = domain.settings;

type Codec<A> = domain.settings.schema.Codec<A>;

/** Bytes of a megabyte in settings. */
export const BYTES_PER_MB = 1_048_576;

export interface Address {
  host: string;
  port: number;
}

export function parseAddress(text: string): Address | undefined {
  const match = /^([0-9.]+|\[[0-9a-f:]+\]):(\d{1,5})$/.exec(text);
  const port = Number(match?.[2]);
  return match === null || port > 65_535 ? undefined : { host: match[1], port };
}

function parseAddresses(text: string): string[] | undefined {
  const parts = schema.list(text);
  return parts.every((part) => parseAddress(part) !== undefined) ? parts : undefined;
}

export function formatAddress({ host, port }: Address): string {
  return `${host}:${port}`;
}

export function oneOf(...choices: readonly string[]): Codec<string> {
  const parse = (text: string): string | undefined => (choices.includes(text) ? text : undefined);
  return schema.textCodec('word', parse, `give one of ${choices.join(', ')}`);
}

export function range(minimum: number, maximum: number): Codec<number> {
  const remedy = `give a number from ${minimum} to ${maximum}`;
  return schema.textCodec('number', schema.numberIn(minimum, maximum), remedy);
}

export const NAME = schema.textCodec(
  'name',
  (text) => (schema.NAME.test(text) ? text : undefined),
  'give a name of lower-case letters, digits, dot, dash, underscore',
);
export const ADDRESS = schema.textCodec(
  'address',
  parseAddress,
  'give IP:PORT, such as 10.0.0.7:8080',
);
export const OPTIONAL_ADDRESS = schema.textCodec<Address | ''>(
  'address',
  (text) => (text === '' ? '' : parseAddress(text)),
  'leave it out or give IP:PORT',
);
export const OPTIONAL_IP = schema.textCodec(
  'IP address',
  (text) => (text === '' || net.isIP(text) !== 0 ? text : undefined),
  'leave it out or give an IP address of this VM',
);
export const ADDRESSES = schema.textCodec(
  'addresses',
  parseAddresses,
  'give IP:PORT, several separated by commas',
);
export const OPTIONAL_NAMES = schema.textCodec(
  'names',
  (text) =>
    schema.list(text).every((part) => schema.NAME.test(part)) ? schema.list(text) : undefined,
  'leave it out or give names, separated by commas',
);
export const TEXT = schema.textCodec('text', (text) => text, 'give a text');
export const SECRET = schema.textCodec(
  'secret',
  (text) => (text.length >= 16 ? text : undefined),
  'give at least 16 characters that nobody can guess',
);
export const HASHES = schema.textCodec('hashes', schema.hashes, 'give sha256:<64 hex digits>');

export type Sections = Record<string, domain.settings.schema.Fields>;

/**
 * Reads all sections of a settings file and returns the values by `section.key`. Every invalid or unknown
 * section and key is added to `problems`.
 */
export function readSections(
  text: string,
  sections: Sections,
  defaults: Readonly<Record<string, string>>,
  problems: domain.settings.schema.Problem[],
): domain.settings.schema.Values {
  const valuesByKey: domain.settings.schema.Values = new Map();
  const sectionsInFile = schema.sectionsOf(text);
  sectionsInFile.forEach((_raw, section) => {
    if (sections[section] !== undefined) return;
    const mend = `use one of ${Object.keys(sections).join(', ')}`;
    problems.push({ section, key: '', value: section, mend });
  });
  Object.entries(sections).forEach(([section, fields]) => {
    const raw = sectionsInFile.get(section) ?? {};
    const values = schema.decodeFields(section, fields, raw, defaults, problems);
    values.forEach((value, key) => valuesByKey.set(`${section}.${key}`, value));
  });
  return valuesByKey;
}
