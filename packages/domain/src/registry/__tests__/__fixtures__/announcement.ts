/** Builds an announcement of a target for the tests of the registry. */
import type * as registry from '../../registry';

export function announcement(
  id: string,
  more: Partial<registry.Announcement> = {},
): registry.Announcement {
  return {
    id,
    bornAt: 0,
    service: 'engines',
    address: '10.0.0.1:80',
    dataCentre: 'east',
    slots: 11,
    state: 'ready',
    sequence: 1,
    ...more,
  };
}
