/**
 * Sends malformed announcements, as an incompatible program might: missing fields, fields of a wrong type, an unknown
 * service at the address of a working target, and bytes that can't be parsed. None of them may register a target or
 * affect the others.
 */
import { counterpart } from '@celerydrift/platform';
import type * as domain from '@celerydrift/domain';
import * as controlClient from './controlClient';

const FOREIGN_ID = 'foreign';

export class MalformedAnnouncer {
  private sentCount = 0;

  constructor(
    private readonly keepers: readonly string[],
    /** HOST:PORT of working targets. */
    private readonly addresses: readonly string[],
  ) {}

  /** Sends the next announcement to the next keeper and ignores the response. */
  async announceNext(): Promise<void> {
    const number = this.sentCount;
    this.sentCount += 1;
    const bodies = this.bodies(this.addresses[number % this.addresses.length]);
    const { method, path } = counterpart.announce(announcement(''));
    const body = bodies[number % bodies.length];
    await controlClient.call(this.keepers[number % this.keepers.length], { method, path, body });
  }

  private bodies(address: string): string[] {
    const { body } = counterpart.announce(announcement(address));
    const fields = JSON.parse(body) as Record<string, unknown>;
    const { slots, ...withoutSlots } = fields;
    return [
      body,
      JSON.stringify(withoutSlots),
      JSON.stringify({ ...fields, slots: `${String(slots)} or so` }),
      JSON.stringify({ ...fields, state: 'resting' }),
      JSON.stringify({ ...fields, address: 'nowhere' }),
      body.slice(0, body.length / 2),
      '\u0000\u0001',
    ];
  }
}

function announcement(address: string): domain.registry.registry.Announcement {
  return {
    id: FOREIGN_ID,
    bornAt: 1,
    service: 'of another program',
    address,
    dataCentre: 'elsewhere',
    slots: 4,
    state: 'ready',
    sequence: 1,
  };
}
