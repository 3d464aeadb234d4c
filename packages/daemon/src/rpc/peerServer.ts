/** Server for calls from other daemons: framed JSON-RPC 2.0 after mutual authentication. */
import type * as http from 'node:http';
import * as net from 'node:net';
import * as tls from 'node:tls';
import * as jsonRpc from 'json-rpc-2.0';
import * as clock from '../clock';
import type * as configuration from '../configuration/configuration';
import * as listening from '../http/listening';
import * as openFiles from '../http/openFiles';
import type * as observer from '../observability/observer';
import * as framing from './framing';
import * as challengeResponse from './challengeResponse';
import * as handshakes from './handshake';
import * as messageChecks from './messageChecks';

export type Method = (parameters: unknown) => unknown;

/** A connection that isn't authenticated by then is closed, milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 3_000;

/** Share of the descriptors that handshakes may take, and most handshakes; a new one ends the oldest. */
const HANDSHAKE_SHARE = 1 / 8;
const MAX_HANDSHAKES = 512;

export class PeerServer {
  private readonly methods = new jsonRpc.JSONRPCServer<string>({
    errorListener: () => undefined,
  });

  private readonly server: net.Server;

  private readonly sockets = new Set<net.Socket>();

  /** Sockets whose handshake isn't complete, the oldest first. */
  private readonly unauthenticated = new Set<net.Socket>();

  private http: http.Server | undefined;

  private readonly checks: messageChecks.MessageChecks;

  constructor(
    private readonly secret: string,
    tlsOptions: tls.TlsOptions | undefined,
    private readonly observer: observer.Observer,
    shapes: messageChecks.Shapes = messageChecks.UNCHECKED,
  ) {
    this.checks = new messageChecks.MessageChecks(shapes.requests, 'request', observer);
    const accept = (socket: net.Socket): void => this.accept(socket);
    this.server =
      tlsOptions === undefined
        ? net.createServer({ noDelay: true }, accept)
        : tls.createServer({ ...tlsOptions, requestCert: true }, accept);
  }

  /** Serves the connections that carry HTTP; without it they are treated as JSON-RPC. */
  serveHttp(server: http.Server): void {
    this.http = server;
  }

  add(name: string, method: Method): void {
    this.methods.addMethod(name, async (parameters: unknown, peer) => {
      if (!this.checks.isUsable(name, peer, parameters)) throw new Error('malformed parameters');
      return method(parameters);
    });
  }

  async listen({ host, port }: configuration.Address): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    listening.surviveErrors(this.server, this.observer);
    return (this.server.address() as net.AddressInfo).port;
  }

  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private accept(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    const stopHandshake = this.startHandshake(socket);
    const nonce = challengeResponse.createNonce();
    let isAuthenticated = false;
    const handshakeDecoder = new framing.FrameDecoder((value) => {
      const handshake = value as handshakes.Handshake;
      isAuthenticated = challengeResponse.isEqualInConstantTime(
        String(handshake.answer),
        challengeResponse.responseTo(this.secret, 'caller', nonce),
      );
      if (!isAuthenticated) {
        this.observer.log('peerRejected', { address: socket.remoteAddress });
        socket.destroy();
        return;
      }
      stopHandshake();
      const answer = challengeResponse.responseTo(this.secret, 'callee', String(handshake.nonce));
      const isHttp = handshake.carrier === 'http' && this.http !== undefined;
      if (isHttp) socket.removeAllListeners('data');
      const accepted: handshakes.Handshake = isHttp ? { answer, carrier: 'http' } : { answer };
      socket.write(framing.encode(accepted));
      if (isHttp) this.http?.emit('connection', socket);
    }, handshakes.MAX_HANDSHAKE_FRAME_BYTES);
    const requestDecoder = new framing.FrameDecoder((value, bytes) =>
      this.serve(socket, value, bytes),
    );
    socket.on('data', (chunk: Buffer) => {
      try {
        (isAuthenticated ? requestDecoder : handshakeDecoder).push(chunk);
      } catch {
        socket.destroy();
      }
    });
    socket.write(framing.encode({ nonce } satisfies handshakes.Handshake));
  }

  /** Limits the time and the number of handshakes; the result ends that for this one. */
  private startHandshake(socket: net.Socket): () => void {
    const stopTimeout = clock.startTimeout(HANDSHAKE_TIMEOUT_MS, () => socket.destroy());
    const stop = (): void => {
      stopTimeout();
      this.unauthenticated.delete(socket);
    };
    socket.once('close', stop);
    this.unauthenticated.add(socket);
    const [oldest] = this.unauthenticated;
    if (this.unauthenticated.size > openFiles.shareOf(HANDSHAKE_SHARE, MAX_HANDSHAKES)) {
      this.observer.count('peers.handshakes.closed');
      oldest.destroy();
    }
    return stop;
  }

  /** @throws Error when the value isn't a call */
  private serve(socket: net.Socket, value: unknown, bytes: number): void {
    if (typeof value !== 'object' || value === null) throw new Error('not a call');
    const request = value as jsonRpc.JSONRPCRequest;
    const method = String(request.method);
    this.observer.count(`rpc.in.${method}.bytes`, bytes);
    this.observer.count(`rpc.in.${method}.calls`);
    void this.answer(request, socket.remoteAddress ?? '', (response) => {
      if (response === null || socket.destroyed) return;
      const frame = framing.encode(response);
      this.observer.count(`rpc.out.${method}.bytes`, frame.length);
      socket.write(frame);
    });
  }

  /** A message that can't be read, or an answer that can't be sent, must not end the process. */
  private async answer(
    request: jsonRpc.JSONRPCRequest,
    peer: string,
    send: (response: jsonRpc.JSONRPCResponse | null) => void,
  ): Promise<void> {
    try {
      send(await this.methods.receive(request, peer));
    } catch (error) {
      this.observer.log('crashed', { method: String(request.method), error: String(error) });
      const { InternalError: code } = jsonRpc.JSONRPCErrorCode;
      send(jsonRpc.createJSONRPCErrorResponse(request.id ?? null, code, String(error)));
    }
  }
}
