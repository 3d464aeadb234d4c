/**
 * One attempt to deliver a message to a target, whichever way it goes. The dispatch that carries it reports here what
 * happened; `cancel` ends that dispatch, which also stops the target's work.
 */
import * as responseOrigin from './responseOrigin';
import type * as targetMessage from './targetMessage';

/** What an attempt needs of the dispatch that carries it. */
export interface Carrier {
  abort: (reason: Error) => void;
  pause: () => void;
  resume: () => void;
}

export class Attempt {
  readonly result: Promise<targetMessage.SendResult>;

  private settle!: (result: targetMessage.SendResult) => void;

  private carrier: Carrier | undefined;

  private cancelled = false;

  private isSettled = false;

  /** Whether the head of the target's response arrived. */
  wasAnswered = false;

  /** Address of the VM that relays the message; undefined for a direct connection. */
  relay: string | undefined;

  /** `callbacks` is undefined if the message is withheld. */
  constructor(
    private readonly message: Pick<targetMessage.TargetMessage, 'requestId'>,
    private readonly handler: targetMessage.ResponseHandler,
    private readonly callbacks: targetMessage.DeliveryCallbacks | undefined,
  ) {
    this.result = new Promise((resolve) => {
      this.settle = resolve;
    });
    if (callbacks === undefined) this.finish({ kind: 'withheld' });
  }

  /** Whether the message was withheld because the target is unavailable to it. */
  get isWithheld(): boolean {
    return this.callbacks === undefined;
  }

  get isOver(): boolean {
    return this.isSettled;
  }

  cancel(): void {
    if (this.isSettled) return;
    this.cancelled = true;
    // Settled first, as the abort ends the dispatch with an error at once.
    this.finish({ kind: 'cancelled' });
    this.carrier?.abort(new Error('cancelled'));
  }

  /** Whether bytes of the request may have been written to the target. */
  get wasSent(): boolean {
    return this.carrier !== undefined;
  }

  pause(): void {
    this.carrier?.pause();
  }

  resume(): void {
    this.carrier?.resume();
  }

  /** From now on bytes of the request may reach the target. */
  started(carrier: Carrier): void {
    if (this.cancelled) {
      carrier.abort(new Error('cancelled'));
      return;
    }
    this.carrier = carrier;
  }

  /** The dispatch that had started ended before it wrote to the target; another one may follow. */
  retracted(): void {
    this.carrier = undefined;
    this.relay = undefined;
  }

  answered(head: targetMessage.ResponseHead): void {
    if (this.isSettled) return;
    this.wasAnswered = true;
    if (!responseOrigin.isResponseTo(this.message.requestId, head.facts)) {
      this.reject(head);
      return;
    }
    this.callbacks?.answered(head);
    this.handler.onHead(head);
  }

  /**
   * Ends the attempt, and its connection with it, for a response to another message. The connection would stay one answer
   * behind. Whether the target runs this message is unknown.
   */
  private reject(head: targetMessage.ResponseHead): void {
    this.callbacks?.foreign(head);
    this.finish({ kind: 'foreign', detail: `response to another message: ${head.status}` });
    this.carrier?.abort(new Error('response to another message'));
  }

  data(chunk: Buffer): void {
    if (!this.isSettled) this.handler.onData(chunk);
  }

  finish(result: targetMessage.SendResult): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.callbacks?.ended();
    this.settle(result);
  }
}
