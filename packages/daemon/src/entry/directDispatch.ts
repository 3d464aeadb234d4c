/** Carries an attempt over a direct connection to its target, as the handler of an undici dispatch. */
import type * as undici from 'undici';
import * as clock from '../clock';
import type * as protocols from '../edges/protocols';
import type * as targetAttempt from './targetAttempt';
import type * as connectionTracker from './connectionTracker';
import * as overheadMeter from './overheadMeter';
import * as pacedResponse from './pacedResponse';
import type * as pathMonitor from './pathMonitor';
import * as sentMessages from '../http/sentMessages';
import * as unsentRequests from '../http/unsentRequests';

/** Why no connection to a target could be made. */
export interface ConnectionFailure {
  detail: string;
  /** Whether the connection was refused or reset, rather than left unanswered. */
  isRefused: boolean;
}

/** Maximum number of informational responses before the response to a message. */
const MAX_INFORMATIONAL = 32;

/** A target that ends may accept a connection and reset it before this process learns that it was accepted. */
const REFUSALS: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET']);

export interface Options {
  target: string;
  /** Size of the message's body. */
  bodyBytes: number;
  attempt: targetAttempt.Attempt;
  connections: connectionTracker.ConnectionTracker;
  protocol: Pick<protocols.TrafficProtocol, 'responseMetadata'>;
  paths?: Pick<pathMonitor.PathMonitor, 'responded'>;
  /** Called instead of ending the attempt if no connection could be made. */
  onUnreachable: (failure: ConnectionFailure) => void;
}

export class DirectDispatch implements undici.Dispatcher.DispatchHandler {
  private isStarted = false;

  private readonly sentAt = clock.steady();

  private isChunked = false;

  private informational = 0;

  private meter: overheadMeter.OverheadMeter | undefined;

  private paced: pacedResponse.PacedResponse | undefined;

  constructor(private readonly options: Options) {}

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    const { attempt } = this.options;
    this.isStarted = true;
    this.paced = new pacedResponse.PacedResponse(controller, () => attempt.paced());
    attempt.started(this.paced);
    if (attempt.isOver) return;
    sentMessages.awaitConnection((connection, socket) => {
      attempt.connection = connection;
      unsentRequests.recordRequest(socket, this.options.bodyBytes);
      this.meter = new overheadMeter.OverheadMeter(socket, (detail) => attempt.giveUp(detail));
    });
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status < 200) {
      this.countInformational();
      return;
    }
    this.options.paths?.responded(this.options.target, this.sentAt);
    this.isChunked = headers['transfer-encoding'] !== undefined;
    const raw = ((controller.rawHeaders ?? []) as (Buffer | string)[]).map((part) =>
      part.toString('latin1'),
    );
    const facts = this.options.protocol.responseMetadata(status, headers);
    this.options.attempt.answered({ status, raw, facts });
  }

  onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    this.meter?.bodyArrived(chunk.length);
    this.options.attempt.data(chunk);
    this.paced?.received(chunk.length);
  }

  onResponseEnd(): void {
    this.meter?.stop();
    const { ends } = this.options.connections;
    this.options.attempt.finish(
      ends.isCut(this.isChunked)
        ? { kind: 'broken', detail: `${ends.current} midway` }
        : { kind: 'complete' },
    );
  }

  onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
    this.meter?.stop();
    const { code = '' } = error as { code?: string };
    const detail = `${code} ${error.message}`.trim();
    if (this.isStarted) this.options.attempt.finish({ kind: 'broken', detail });
    else this.options.onUnreachable({ detail, isRefused: REFUSALS.has(code) });
  }

  private countInformational(): void {
    this.informational += 1;
    if (this.informational > MAX_INFORMATIONAL) {
      this.options.attempt.giveUp(`more than ${MAX_INFORMATIONAL} informational responses`);
    }
  }
}
