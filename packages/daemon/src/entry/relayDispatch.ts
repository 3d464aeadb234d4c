/** Carries an attempt by way of another entry, as the handler of an undici dispatch to that entry. */
import type * as undici from 'undici';
import type * as protocols from '../edges/protocols';
import type * as targetAttempt from './targetAttempt';
import * as pacedResponse from './pacedResponse';
import * as relayProtocol from './relayProtocol';

/** The attempt is over, or it never reached its target and may go another way. */
export type DispatchEnd =
  | { kind: 'over' }
  | Exclude<relayProtocol.RelayResult, { kind: 'broken' | 'foreign' | 'unusable' }>;

/** Maximum size of a `RelayResult`. */
const MAX_RESULT_BYTES = 65_536;

export interface Options {
  attempt: targetAttempt.Attempt;
  /** Address of the relay. */
  relay: string;
  protocol: Pick<protocols.TrafficProtocol, 'responseMetadata'>;
  onEnd: (end: DispatchEnd) => void;
}

export class RelayDispatch implements undici.Dispatcher.DispatchHandler {
  private isStarted = false;

  /** Whether the target's response has begun; otherwise the body is a `RelayResult`. */
  private hasHead = false;

  private readonly result: Buffer[] = [];

  private resultBytes = 0;

  private paced: pacedResponse.PacedResponse | undefined;

  constructor(private readonly options: Options) {}

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    const { attempt, relay } = this.options;
    this.isStarted = true;
    attempt.relay = relay;
    this.paced = new pacedResponse.PacedResponse(controller, () => attempt.paced());
    attempt.started(this.paced);
  }

  onResponseStart(
    _controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    const encoded = headers[relayProtocol.HEAD_HEADER];
    if (status !== 200 || typeof encoded !== 'string') return;
    this.hasHead = true;
    const { attempt, protocol } = this.options;
    const head = relayProtocol.decodeHead(encoded);
    const facts = protocol.responseMetadata(head.status, relayProtocol.headersOf(head.raw));
    attempt.answered({ ...head, facts });
  }

  onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.hasHead) {
      this.options.attempt.data(chunk);
      this.paced?.received(chunk.length);
      return;
    }
    this.result.push(chunk);
    this.resultBytes += chunk.length;
    if (this.resultBytes > MAX_RESULT_BYTES) controller.abort(new Error('result is too long'));
  }

  onResponseEnd(
    _controller: undici.Dispatcher.DispatchController,
    trailers: Record<string, string | string[] | undefined>,
  ): void {
    const { attempt, onEnd } = this.options;
    if (!this.hasHead) {
      this.endWithout(parseResult(Buffer.concat(this.result)));
      return;
    }
    const isComplete = trailers?.[relayProtocol.END_TRAILER] === relayProtocol.COMPLETE;
    attempt.finish(
      isComplete ? { kind: 'complete' } : { kind: 'broken', detail: 'cut at the relay' },
    );
    onEnd({ kind: 'over' });
  }

  onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
    const detail = `relay: ${error.message}`;
    this.endWithout({ kind: this.isStarted ? 'broken' : 'refused', detail });
  }

  private endWithout(result: relayProtocol.RelayResult): void {
    const { attempt, onEnd } = this.options;
    if (attempt.isOver) {
      onEnd({ kind: 'over' });
      return;
    }
    if (result.kind === 'broken' || result.kind === 'foreign' || result.kind === 'unusable') {
      attempt.finish(result);
      onEnd({ kind: 'over' });
      return;
    }
    attempt.retracted();
    onEnd(result);
  }
}

/** A relay's result; anything else leaves open what became of the message. */
function parseResult(body: Buffer): relayProtocol.RelayResult {
  try {
    const result = JSON.parse(body.toString()) as relayProtocol.RelayResult;
    const { kind, detail } = result;
    if (kind === 'declined')
      return { kind, detail: String(detail), withheld: result.withheld ?? undefined };
    const isUnsent = kind === 'notSent' || kind === 'refused';
    if (isUnsent || kind === 'foreign' || kind === 'unusable')
      return { kind, detail: String(detail) };
    return { kind: 'broken', detail: String(detail) };
  } catch {
    return { kind: 'broken', detail: 'unreadable result of the relay' };
  }
}
