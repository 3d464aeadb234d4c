/** Opens an authenticated connection to another daemon that carries HTTP instead of JSON-RPC frames. */
import * as net from 'node:net';
import * as clock from '../clock';
import * as framing from './framing';
import * as handshake from './handshake';

export interface Options {
  secret: string;
  /** Local IP address; undefined to let the operating system choose. */
  localAddress: string | undefined;
  /** Time limit for the connection and the handshake, milliseconds. */
  timeoutMs: number;
}

type Callback = (error: Error | null, socket: net.Socket | null) => void;

/** Calls back once, with an authenticated socket or an error. */
export function open(
  { hostname, port }: { hostname: string; port: string },
  { secret, localAddress, timeoutMs }: Options,
  callback: Callback,
): void {
  const socket = net.connect({ host: hostname, port: Number(port), localAddress, noDelay: true });
  const exchange = new handshake.CallerHandshake(secret, 'http');
  const finish = (error: Error | null): void => {
    stopTimeout();
    socket.off('error', finish).off('close', onClose).off('data', onData);
    // undici adds its own listeners; until then an error must not be unhandled.
    socket.on('error', () => undefined);
    if (error !== null) socket.destroy();
    callback(error, error === null ? socket : null);
  };
  const decoder = new framing.FrameDecoder((value) => {
    const step = exchange.handle(value);
    if (step === 'authenticated') finish(null);
    else if (step === 'rejected') finish(new Error('peer failed authentication'));
    else socket.write(step);
  }, handshake.MAX_HANDSHAKE_FRAME_BYTES);
  const onClose = (): void => finish(new Error('connection closed'));
  const onData = (chunk: Buffer): void => {
    try {
      decoder.push(chunk);
    } catch {
      finish(new Error('malformed frame'));
    }
  };
  const stopTimeout = clock.startTimeout(timeoutMs, () => finish(new Error('connect timeout')));
  socket.once('error', finish);
  socket.once('close', onClose);
  socket.on('data', onData);
}
