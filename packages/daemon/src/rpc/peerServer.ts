/** The listener for other daemons: JSON-RPC 2.0 objects in frames, after both sides proved themselves. */
import * as net from 'node:net';
import * as tls from 'node:tls';
import * as jsonRpc from 'json-rpc-2.0';
import type * as configuration from '../configuration/configuration';
import type * as observer from '../observability/observer';
import * as framing from './framing';
import * as proof from './proof';

export type Method = (parameters: unknown) => unknown;

/** A connection that has not proved itself by then is closed; milliseconds. */
const PROOF_TIMEOUT_MS = 3_000;

/** Longest frame before the proof. */
const STRANGER_FRAME_BYTES = 1_024;

interface Hello {
  nonce: string;
  answer?: string;
}

export class PeerServer {
  private readonly methods = new jsonRpc.JSONRPCServer({ errorListener: () => undefined });

  private readonly server: net.Server;

  private readonly sockets = new Set<net.Socket>();

  constructor(
    private readonly secret: string,
    tlsOptions: tls.TlsOptions | undefined,
    private readonly observer: observer.Observer,
  ) {
    const accept = (socket: net.Socket): void => this.accept(socket);
    this.server =
      tlsOptions === undefined
        ? net.createServer({ noDelay: true }, accept)
        : tls.createServer({ ...tlsOptions, requestCert: true }, accept);
  }

  add(name: string, method: Method): void {
    this.methods.addMethod(name, async (parameters) => method(parameters));
  }

  async listen({ host, port }: configuration.Address): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
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
    socket.setTimeout(PROOF_TIMEOUT_MS, () => socket.destroy());
    const nonce = proof.challenge();
    let proven = false;
    const stranger = new framing.Splitter((value) => {
      const hello = value as Hello;
      proven = proof.isEqual(String(hello.answer), proof.answer(this.secret, 'caller', nonce));
      if (!proven) {
        this.observer.log('peerRejected', { address: socket.remoteAddress });
        socket.destroy();
        return;
      }
      socket.setTimeout(0);
      const answer = proof.answer(this.secret, 'callee', String(hello.nonce));
      socket.write(framing.encode({ answer }));
    }, STRANGER_FRAME_BYTES);
    const known = new framing.Splitter((value, bytes) => this.serve(socket, value, bytes));
    socket.on('data', (chunk: Buffer) => {
      try {
        (proven ? known : stranger).push(chunk);
      } catch {
        socket.destroy();
      }
    });
    socket.write(framing.encode({ nonce } satisfies Hello));
  }

  private serve(socket: net.Socket, value: unknown, bytes: number): void {
    const request = value as jsonRpc.JSONRPCRequest;
    const method = String(request?.method);
    this.observer.count(`rpc.in.${method}.bytes`, bytes);
    this.observer.count(`rpc.in.${method}.calls`);
    void this.methods.receive(request).then((response) => {
      if (response === null || socket.destroyed) return;
      const frame = framing.encode(response);
      this.observer.count(`rpc.out.${method}.bytes`, frame.length);
      socket.write(frame);
    });
  }
}
