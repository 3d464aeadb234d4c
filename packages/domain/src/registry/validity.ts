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

/** Describes what is wrong with an announcement; undefined where it is valid. */
export function problemOf(announcement: registry.Announcement): string | undefined {
  const { id, address, slots, sequence, bornAt, service, dataCentre } = announcement;
  if (!ID.test(id)) return 'id is empty, too long or not printable';
  if (service === '') return 'service is empty';
  if (dataCentre === '') return 'data centre is empty';
  if (!isAddress(address)) return `address ${address.slice(0, 64)} is not IPV4:PORT`;
  if (!isCount(slots, MAX_SLOTS)) return `slots ${slots} is not a whole number in range`;
  if (!isCount(sequence)) return `sequence ${sequence} is not a whole number in range`;
  if (!isCount(bornAt)) return `start ${bornAt} is not a whole number in range`;
  const { coldLeftMs = 0 } = announcement;
  const isColdTime = coldLeftMs >= 0 && coldLeftMs <= MAX_COLD_MS;
  return isColdTime ? undefined : `cold time ${coldLeftMs} is not a number in range`;
}
