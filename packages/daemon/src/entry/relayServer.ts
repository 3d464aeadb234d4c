/**
 * Sends messages of other entries to targets that these can't reach. The gate of this entry admits them like its own,
 * for the target sees them come from this VM; what the other entry's gate decides isn't decided again.
 */
import * as http from 'node:http';
import * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import * as clock from '../clock';
import * as coalescedParts from '../http/coalescedParts';
import * as heldBytes from '../http/heldBytes';
import * as requestBody from '../http/requestBody';
import * as framing from '../rpc/framing';
import type * as targetAttempt from './targetAttempt';
import * as relayProtocol from './relayProtocol';
import type * as targetClient from './targetClient';
import type * as targetMessage from './targetMessage';

export interface Dependencies {
  targets: Pick<targetClient.TargetClient, 'sendDirectly'>;
  /** Whether this entry reaches targets and goes on running. */
  isReady: () => boolean;
  /** Whether this entry's own path to a target is lost. */
  isLost: (target: string) => boolean;
  /** Scopes of targets that this entry doesn't reach. */
  lostScopes: () => relayProtocol.RelayStatus['lost'];
  /** Targets to which this entry sends no requests. */
  withheld: () => readonly domain.reachability.withheldTargets.WithheldTarget[];
  /** For how long this entry sends a target no requests, milliseconds; undefined while that isn't known. */
  withheldMs: (target: string) => number | undefined;
  observer: observer.Observer;
}

/** Longest head of a message, bytes; a caller's head, encoded. */
const MAX_HEADER_BYTES = 262_144;

/** Most bytes of messages and of responses that wait for their receivers, in total. */
const MAX_HELD_BYTES = 32 * 1024 * 1024;

/** With so much held, this entry declines to relay further messages, bytes. */
const READY_HELD_BYTES = MAX_HELD_BYTES / 2;

/** Longest body of a message, bytes. */
const MAX_BODY_BYTES = framing.MAX_FRAME_BYTES;

/** An idle connection of another entry is closed after this time, milliseconds; longer than the entry keeps it. */
const IDLE_TIMEOUT_MS = 8_000;

const NOT_READY: relayProtocol.RelayResult = { kind: 'refused', detail: 'relay not ready' };

const TOO_LONG: relayProtocol.RelayResult = { kind: 'declined', detail: 'message is too long' };

const PATH_LOST: relayProtocol.RelayResult = {
  kind: 'declined',
  detail: "the relay's own path to the target is lost",
};

export class RelayServer {
  /** Serves the connections that the peers' listener hands over. */
  readonly server: http.Server;

  private activeMessages = 0;

  private readonly held: heldBytes.HeldBytes;

  constructor(private readonly dependencies: Dependencies) {
    this.held = new heldBytes.HeldBytes({
      boundBytes: MAX_HELD_BYTES,
      now: clock.steady,
      observer: dependencies.observer,
    });
    this.server = http.createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, keepAliveTimeout: IDLE_TIMEOUT_MS },
      (request, response) => {
        void this.serve(request, response);
      },
    );
  }

  get active(): number {
    return this.activeMessages;
  }

  get status(): relayProtocol.RelayStatus {
    const { isReady, activeMessages: active } = this;
    const { lostScopes, withheld } = this.dependencies;
    const named = domain.reachability.withheldTargets.statementOf(withheld());
    return { isReady, active, lost: lostScopes(), withheld: named };
  }

  private get isReady(): boolean {
    return this.dependencies.isReady() && this.held.total < READY_HELD_BYTES;
  }

  /** Handles a message; an unexpected error breaks off this one, and its sender learns that it may have run. */
  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    try {
      await this.handle(request, response);
    } catch (error) {
      this.dependencies.observer.log('crashed', { path: request.url, detail: String(error) });
      response.destroy();
    }
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    if (!this.isReady) {
      this.end(response, NOT_READY);
      return;
    }
    this.activeMessages += 1;
    response.once('close', () => {
      this.activeMessages -= 1;
    });
    const held = this.held.open({
      request: '',
      unsentBytes: () => response.writableLength,
      cut: () => response.destroy(),
    });
    response.once('close', () => held.close());
    const body = await requestBody.read(request, { maxBytes: MAX_BODY_BYTES, held });
    if (body === 'broken') return;
    if (!Buffer.isBuffer(body)) {
      // The unread rest of the body must not be parsed as the next message.
      response.setHeader('Connection', 'close');
      this.end(response, body === 'tooLarge' ? TOO_LONG : NOT_READY);
      return;
    }
    const head = relayProtocol.decodeMessage(String(request.headers[relayProtocol.MESSAGE_HEADER]));
    if (head === undefined) this.end(response, { kind: 'refused', detail: 'unreadable message' });
    else if (this.dependencies.isLost(head.target)) this.end(response, PATH_LOST);
    else await this.relay({ ...head, body }, response);
  }

  private async relay(
    message: targetMessage.TargetMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { targets, observer: observe } = this.dependencies;
    observe.count(`relay.served.${message.purpose}`);
    const parts = new coalescedParts.CoalescedParts((bytes) => {
      if (!response.destroyed) this.forward(bytes, response, attempt);
    });
    const attempt = targets.sendDirectly(message, {
      onHead: ({ status, raw }) => {
        const head = relayProtocol.encode({ status, raw });
        response.writeHead(200, {
          [relayProtocol.HEAD_HEADER]: head,
          Trailer: relayProtocol.END_TRAILER,
        });
        response.flushHeaders();
      },
      onData: (chunk) => parts.push(chunk),
    });
    response.once('close', () => attempt.cancel());
    const result = await attempt.result;
    parts.flush();
    if (message.purpose === 'request') {
      const { requestId: request, target } = message;
      observe.log('messageRelayed', { request, target, outcome: result.kind });
    }
    // A target that only this entry doesn't reach may be reached by the next one.
    const isOwnFault = result.kind === 'notSent' && this.dependencies.isLost(message.target);
    if (isOwnFault) this.end(response, PATH_LOST);
    else if (result.kind === 'withheld') this.end(response, this.withheldResult(message.target));
    else this.endWith(result, response);
  }

  private withheldResult(target: string): relayProtocol.RelayResult {
    const forMs = this.dependencies.withheldMs(target);
    return { kind: 'declined', detail: 'target unavailable to the relay', withheld: { forMs } };
  }

  private forward(
    chunk: Buffer,
    response: http.ServerResponse,
    attempt: targetAttempt.Attempt,
  ): void {
    if (response.write(chunk)) return;
    attempt.pause();
    response.once('drain', () => attempt.resume());
  }

  private endWith(
    result: Exclude<targetMessage.SendResult, { kind: 'withheld' }>,
    response: http.ServerResponse,
  ): void {
    if (result.kind === 'complete') {
      response.addTrailers({ [relayProtocol.END_TRAILER]: relayProtocol.COMPLETE });
      response.end();
    } else if (response.headersSent || result.kind === 'cancelled') response.destroy();
    else this.end(response, { kind: result.kind, detail: result.detail });
  }

  private end(response: http.ServerResponse, result: relayProtocol.RelayResult): void {
    const body = JSON.stringify(result);
    response.writeHead(503, { 'Content-Length': Buffer.byteLength(body) });
    response.end(body);
  }
}
