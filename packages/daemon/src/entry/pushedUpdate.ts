/**
 * Decides what of a pushed update an entry may apply. A leader pushes updates from the moment it has received an entry's
 * first poll, so a push may arrive before the answer. Only that answer, or a push that contains them, tells a restarted
 * entry the evacuations; with a catalogue alone it would serve callers and send to evacuated targets.
 */
import type * as messages from '../fleet/messages';

/** `wasConfirmed`: whether a leader has answered a poll of this process. */
export function usablePart(
  update: messages.FleetUpdate,
  wasConfirmed: boolean,
): messages.FleetUpdate {
  const isUsable = wasConfirmed || update.evacuations !== undefined;
  return isUsable ? update : { ...update, edition: undefined };
}
