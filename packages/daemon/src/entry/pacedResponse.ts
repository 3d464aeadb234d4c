/**
 * Limits the share of the event loop that one response takes. A target that sends without a pause would otherwise be read
 * for as long as it has bytes, while all other callers of this entry wait. A response that brought so much waits for its
 * turn before it is read on; apart from that, it is read as fast as its caller takes it.
 */
import type * as undici from 'undici';
import * as turns from '../http/turns';
import type * as targetAttempt from './targetAttempt';

/**
 * Parts of a body, and bytes of it, after which a response waits for its turn. What was read with them and isn't parsed yet
 * is copied for each turn, so a turn takes about as many of the smallest parts as one read brings.
 */
const PARTS_PER_TURN = 8_192;
const BYTES_PER_TURN = 32_768;

/** The same before the first turn, which many responses may share. */
const FIRST_PARTS = 64;

export class PacedResponse implements targetAttempt.Carrier {
  private partsLeft = FIRST_PARTS;

  private bytesLeft = BYTES_PER_TURN;

  /** Whether the caller has taken too little to read on. */
  private isHeldBack = false;

  constructor(
    private readonly controller: Pick<
      undici.Dispatcher.DispatchController,
      'abort' | 'pause' | 'resume'
    >,
    /** Called each time that the response waits for its turn. */
    private readonly onWait: () => void,
  ) {}

  abort(reason: Error): void {
    this.controller.abort(reason);
  }

  pause(): void {
    this.isHeldBack = true;
    this.controller.pause();
  }

  resume(): void {
    this.isHeldBack = false;
    this.awaitTurn();
  }

  /** A part of the body has arrived. */
  received(partBytes: number): void {
    this.partsLeft -= 1;
    this.bytesLeft -= partBytes;
    if (this.partsLeft > 0 && this.bytesLeft > 0) return;
    this.partsLeft = PARTS_PER_TURN;
    this.bytesLeft = BYTES_PER_TURN;
    this.controller.pause();
    this.onWait();
    this.awaitTurn();
  }

  /** Also after its caller held it back: reading outside of turns would look like the load of callers. */
  private awaitTurn(): void {
    turns.wait(this, () => {
      if (!this.isHeldBack) this.controller.resume();
    });
  }
}
