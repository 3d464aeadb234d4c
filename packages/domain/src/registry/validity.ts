/**
 * Validates announcements. Other programs write them too, with values of their own; an invalid
 * address would fail each request that is sent there, an id with a line break each header.
 */
import type * as registry from './registry';

const ID = /^[\x21-\x7e]{1,128}$/;

const MAX_OCTET = 255;

const MAX_PORT = 65_535;

/** More concurrent requests than any target serves. */
const MAX_SLOTS = 100_000;

/** Longer than any target remains cold, milliseconds. */
export const MAX_COLD_MS = 600_000;

/** Longest name of a service or data centre, in characters; every process stores and forwards it. */
const MAX_NAME_CHARACTERS = 256;

function isIntegerUpTo(text: string | undefined, max: number): boolean {
  return text !== undefined && /^\d{1,5}$/.test(text) && Number(text) <= max;
}

function isAddress(text: string): boolean {
  const [host, port, ...rest] = text.split(':');
  const octets = host.split('.');
  const isHost = octets.length === 4 && octets.every((each) => isIntegerUpTo(each, MAX_OCTET));
  return rest.length === 0 && isHost && isIntegerUpTo(port, MAX_PORT) && Number(port) > 0;
}

function isCount(value: number, max = Number.MAX_SAFE_INTEGER): boolean {
  return Number.isSafeInteger(value) && value >= 0 && value <= max;
}

function problemOfName(field: string, name: string): string | undefined {
  if (name === '') return `${field} is empty`;
  return name.length > MAX_NAME_CHARACTERS ? `${field} is too long` : undefined;
}

/** Describes what is wrong with the id of a target; undefined where it is valid. */
export function problemOfId(id: string): string | undefined {
  return ID.test(id) ? undefined : 'id is empty, too long or not printable';
}

/** Describes what is wrong with an announcement; undefined where it is valid. */
export function problemOf(announcement: registry.Announcement): string | undefined {
  const { id, address, slots, sequence, bornAt, service, dataCentre } = announcement;
  const nameProblem =
    problemOfId(id) ??
    problemOfName('service', service) ??
    problemOfName('data centre', dataCentre);
  if (nameProblem !== undefined) return nameProblem;
  if (!isAddress(address)) return `address ${address.slice(0, 64)} is not IPV4:PORT`;
  if (!isCount(slots, MAX_SLOTS)) return `slots ${slots} is not a whole number in range`;
  if (!isCount(sequence)) return `sequence ${sequence} is not a whole number in range`;
  if (!isCount(bornAt)) return `start ${bornAt} is not a whole number in range`;
  const { coldLeftMs = 0 } = announcement;
  const isColdTime = coldLeftMs >= 0 && coldLeftMs <= MAX_COLD_MS;
  return isColdTime ? undefined : `cold time ${coldLeftMs} is not a number in range`;
}
