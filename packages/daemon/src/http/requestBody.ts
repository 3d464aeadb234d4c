/** Reads the body of a request, whose parts may be as small as a byte each. */
import type * as http from 'node:http';
import type * as arrivingBodies from './arrivingBodies';
import * as compactBytes from './compactBytes';
import type * as heldBytes from './heldBytes';

/** Why there is no body: it is too long, its connection ended before it, or it was given up. */
export type Failure = 'tooLarge' | 'broken' | arrivingBodies.Reason;

export type Body = Buffer | Failure;

export interface Options {
  maxBytes: number;
  /** How long the body may take; without limits if undefined. */
  times?: arrivingBodies.Options['times'];
  /** Counts what the body takes, and may give it up. */
  held: Pick<heldBytes.Holding, 'bodyBegan' | 'bodyArrived' | 'bodyEnded' | 'releaseBody'>;
}

/**
 * Reads a body. The rest of one that is too long or given up isn't kept, and its connection stays open for the answer.
 * Rejects with an unexpected error in what counts the body.
 */
export function read(
  request: http.IncomingMessage,
  { maxBytes, times, held }: Options,
): Promise<Body> {
  return new Promise((resolve, reject) => {
    const bytes = new compactBytes.CompactBytes();
    let isGivenUp = false;
    /** An error in a listener would end the process. */
    const orReject = (action: () => void): void => {
      try {
        action();
      } catch (error) {
        reject(error);
      }
    };
    const giveUp = (failure: Failure): void => {
      isGivenUp = true;
      bytes.clear();
      resolve(failure);
    };
    const add = (part: Buffer): void => {
      if (isGivenUp) return;
      const allocatedBefore = bytes.allocatedBytes;
      bytes.append(part);
      if (bytes.length <= maxBytes) held.bodyArrived(bytes.allocatedBytes - allocatedBefore);
      else {
        giveUp('tooLarge');
        held.releaseBody();
      }
    };
    const finish = (): void => {
      if (isGivenUp) return;
      held.bodyEnded();
      resolve(bytes.join());
    };
    held.bodyBegan({ times, giveUp });
    request.on('data', (part: Buffer) => orReject(() => add(part)));
    request.once('end', () => orReject(finish));
    request.once('error', () => resolve('broken'));
    request.once('close', () => resolve('broken'));
  });
}
