/**
 * Whose answer a response is. A target may send a second copy of an answer late, where the answer to the next message on
 * the connection is expected, so a response says nothing about a message just because it arrived after it. Nothing else
 * of a response may be read before this is known.
 */
import type * as protocols from '../edges/protocols';

/**
 * Whether a response answers the message with this id, which targets repeat. A message without an id, such as an order,
 * is answered without one. A response without an id, or with several, answers no message that has one: whoever sent it
 * doesn't know which message the target ran.
 */
export function isResponseTo(
  messageId: string | undefined,
  { requestId }: Pick<protocols.ResponseMetadata, 'requestId'>,
): boolean {
  return (messageId ?? '') === (requestId ?? '');
}
