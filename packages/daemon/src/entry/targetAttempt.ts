/**
 * One attempt to deliver a message to a target, whichever way it goes. The dispatch that carries it reports here what
 * happened; `cancel` ends that dispatch, which also stops the target's work.
 */
import * as clock from '../clock';
import * as responseOrigin from './responseOrigin';
import type * as sentMessages from '../http/sentMessages';
import type * as targetMessage from './targetMessage';

/** What an attempt needs of the dispatch that carries it. */
export interface Carrier {
  abort: (reason: Error) => void;
  pause: () => void;
  resume: () => void;
}

/** A target's complete response that states that it didn't run the message, and how it arrived. */
export interface Refusal {
  target: string;
  /** Address of the VM that relayed the message; undefined for a direct connection. */
  relay: string | undefined;
  status: number;
  /** Id in the response. */
  answered: string | undefined;
  isSigned: boolean;
  /** Undefined for a relayed message. */
  connection: sentMessages.Connection | undefined;
}

/** A response that waited for so many turns is reported; some bring 64 KiB, others less. */
const MANY_TURNS = 256;

export class Attempt {
  readonly result: Promise<targetMessage.SendResult>;

  private settle!: (result: targetMessage.SendResult) => void;

  private carrier: Carrier | undefined;

  private isSettled = false;

  /** Whether the head of the target's response arrived. */
  wasAnswered = false;

  /** When bytes of the target's response last arrived, on the steady clock, milliseconds; 0 before the first. */
  lastHeardAt = 0;

  /** Address of the VM that relays the message; undefined for a direct connection. */
  relay: string | undefined;

  /** The direct connection that carries it. */
  connection: sentMessages.Connection | undefined;

  /** The response to this message; undefined until its head arrived. */
  private head: targetMessage.ResponseHead | undefined;

  private isComplete = false;

  /** Turns of the event loop that its response waited for. */
  private turns = 0;

  /** `callbacks` is undefined if the message is withheld. */
  constructor(
    private readonly message: Pick<targetMessage.TargetMessage, 'target' | 'requestId'>,
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
    // Settled first, as the abort ends the dispatch with an error at once.
    this.finish({ kind: 'cancelled' });
    this.carrier?.abort(new Error('cancelled'));
  }

  /** Whether bytes of the request may have been written to the target. */
  get wasSent(): boolean {
    return this.carrier !== undefined;
  }

  /** The target's statement that it didn't run the message; undefined if it made none, or its connection broke. */
  get refusal(): Refusal | undefined {
    const { head, relay, connection } = this;
    if (head === undefined || !this.isComplete || !head.facts.isNotRun) return undefined;
    const { target } = this.message;
    const { requestId: answered, isSigned } = head.facts;
    return { target, relay, status: head.status, answered, isSigned, connection };
  }

  /** Whether the target may have run the message, or run it now. */
  get mayHaveRun(): boolean {
    return this.wasSent && this.refusal === undefined;
  }

  pause(): void {
    this.carrier?.pause();
  }

  resume(): void {
    this.carrier?.resume();
  }

  /** From now on bytes of the message may reach the target; an attempt that is over never starts. */
  started(carrier: Carrier): void {
    if (this.isSettled) {
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
    this.lastHeardAt = clock.steady();
    if (!responseOrigin.isResponseTo(this.message.requestId, head.facts)) {
      this.reject(head);
      return;
    }
    this.head = head;
    this.callbacks?.answered(head);
    this.handler.onHead(head);
  }

  /**
   * Ends the attempt, and its connection with it, for a response to another message. The connection would stay one answer
   * behind. Whether the target runs this message is unknown.
   */
  private reject(head: targetMessage.ResponseHead): void {
    this.callbacks?.foreign(head, this.connection);
    this.finish({ kind: 'foreign', detail: `response to another message: ${head.status}` });
    this.carrier?.abort(new Error('response to another message'));
  }

  /**
   * Ends the attempt, and its connection with it, as the response can't be used, whatever follows. Whether the target runs
   * this message is unknown.
   */
  giveUp(detail: string): void {
    if (this.isSettled) return;
    this.callbacks?.unusable?.(detail);
    this.handler.onUnusable?.(detail);
    this.finish({ kind: 'unusable', detail });
    this.carrier?.abort(new Error(detail));
  }

  /**
   * Ends the attempt, and its connection with it, at a refusal whose body doesn't end. Its head is complete and was sent in
   * response to this message, so what it states holds whatever its body does.
   */
  endRefusal(detail: string): void {
    if (this.isSettled || this.head?.facts.isNotRun !== true) return;
    this.callbacks?.unusable?.(detail);
    this.finish({ kind: 'complete' });
    this.carrier?.abort(new Error(detail));
  }

  /** Its response has waited for another turn of the event loop. */
  paced(): void {
    this.turns += 1;
    if (!this.isSettled && this.turns === MANY_TURNS) this.callbacks?.paced?.(this.turns);
  }

  data(chunk: Buffer): void {
    if (this.isSettled) return;
    this.lastHeardAt = clock.steady();
    this.handler.onData(chunk);
  }

  finish(result: targetMessage.SendResult): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.isComplete = result.kind === 'complete';
    this.callbacks?.ended();
    this.settle(result);
  }
}
