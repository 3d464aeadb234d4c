/**
 * Decodes INI texts against a schema, to typed values or all problems, each with section, key,
 * value and fix. Used for the teams' settings and for a daemon's own configuration.
 */
import * as ini from 'ini';
import * as t from 'io-ts';
import * as Either from 'fp-ts/Either';

/** A problem in a settings file; `mend` says how to fix it. */
export interface Problem {
  section: string;
  key: string;
  value: string;
  mend: string;
}

export const NAME = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const SHA256_HEX = /^[0-9a-f]{64}$/;

/** Decodes one value; `mend` says how to fix an invalid one. */
export interface Codec<A> {
  type: t.Decoder<unknown, A>;
  mend: string;
}

/** Makes a codec from a parser that returns undefined for invalid input. */
export function textCodec<A>(
  name: string,
  parse: (text: string) => A | undefined,
  mend: string,
): Codec<A> {
  const type = new t.Type<A, string, unknown>(
    name,
    (_value): _value is A => true,
    (input, context) => {
      const parsed = typeof input === 'string' ? parse(input) : undefined;
      return parsed === undefined ? t.failure(input, context) : t.success(parsed);
    },
    String,
  );
  return { type, mend };
}

export function list(text: string): string[] {
  return text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== '');
}

export function hashes(text: string): string[] | undefined {
  const parts = list(text).map((part) => part.replace(/^sha256:/, ''));
  return parts.length > 0 && parts.every((part) => SHA256_HEX.test(part)) ? parts : undefined;
}

export function numberIn(minimum: number, maximum: number): (text: string) => number | undefined {
  return (text) => {
    const value = Number(text);
    const isValid = text.trim() !== '' && value >= minimum && value <= maximum;
    return isValid ? value : undefined;
  };
}

export function names(text: string): string[] | undefined {
  const parts = list(text);
  const areValid = parts.length > 0 && parts.every((part) => part === '*' || NAME.test(part));
  return areValid ? parts : undefined;
}

export type Fields = Record<string, Codec<unknown>>;

export type Values = Map<string, unknown>;

/** Decodes the keys of one section; appends what is wrong to `problems`. */
export function decodeFields(
  section: string,
  fields: Fields,
  raw: Record<string, unknown>,
  defaults: Readonly<Record<string, string>>,
  problems: Problem[],
): Values {
  const values: Values = new Map();
  Object.keys(raw)
    .filter((key) => fields[key] === undefined)
    .forEach((key) => {
      const mend = `remove it or use one of: ${Object.keys(fields).join(', ')}`;
      problems.push({ section, key, value: String(raw[key]), mend });
    });
  Object.entries(fields).forEach(([key, codec]) => {
    const value = raw[key] ?? defaults[key];
    const decoded = codec.type.decode(value === undefined ? undefined : String(value));
    if (Either.isRight(decoded)) values.set(key, decoded.right);
    else problems.push({ section, key, value: String(value ?? '(missing)'), mend: codec.mend });
  });
  return values;
}

/** Flattens `[a.b]` sections, which the INI library nests at each dot. */
export function sectionsOf(text: string): Map<string, Record<string, unknown>> {
  const parsed = ini.parse(text) as Record<string, unknown>;
  const sections = new Map<string, Record<string, unknown>>();
  const visit = (prefix: string, node: Record<string, unknown>): void => {
    const scalars = Object.entries(node).filter(([, value]) => typeof value !== 'object');
    const children = Object.entries(node).filter(([, value]) => typeof value === 'object');
    const isSection = scalars.length > 0 || children.length === 0;
    if (isSection) sections.set(prefix, Object.fromEntries(scalars));
    children.forEach(([key, value]) => {
      visit(prefix === '' ? key : `${prefix}.${key}`, value as Record<string, unknown>);
    });
  };
  if (Object.keys(parsed).length > 0) visit('', parsed);
  return sections;
}

/** Formats a problem as one line of text. */
export function describe(problem: Problem): string {
  const place = problem.key === '' ? `[${problem.section}]` : `[${problem.section}] ${problem.key}`;
  return `${place} = "${problem.value}": ${problem.mend}`;
}
