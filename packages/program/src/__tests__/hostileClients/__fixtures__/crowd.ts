/** Clients that send a request slowly, in part, or in an unusual form, and keep their connections open. */
import * as net from 'node:net';
import * as tls from 'node:tls';
import * as childProcess from './childProcess';

const { sleep } = childProcess;

export interface Address {
  host: string;
  port: number;
}

/** What one client sends before it falls silent. */
export interface Script {
  head: string;
  /** Sent `count` times after the head. */
  piece: Buffer;
  count: number;
  /** Sent last; empty to stop short of the end. */
  end: string;
  /** Time between two pieces, milliseconds; 0 to send as fast as the server reads. */
  intervalMs: number;
  /** Whether it reads what comes back; true by default. */
  isReading?: boolean;
  /** Whether it ends its side of the connection when it has sent all; false by default. */
  isHalfClosing?: boolean;
}

/** Connects and sends nothing. */
export const SILENT: Script = {
  head: '',
  piece: Buffer.alloc(0),
  count: 0,
  end: '',
  intervalMs: 0,
};

/** The length of a message between daemons, and its bytes one by one. */
export const SLOW_HANDSHAKE: Script = {
  ...SILENT,
  head: '\0\0\0d',
  piece: Buffer.from('x'),
  count: 90,
  intervalMs: 1_000,
};

export function times(count: number, script: Script): Script[] {
  return Array<Script>(count).fill(script);
}

/** Pieces of few bytes are sent together in writes of about this size. */
const WRITE_BYTES = 65_536;

/** Time between two clients' connections, milliseconds. */
const ARRIVAL_INTERVAL_MS = 5;

/** A crowd that is silent for this time has sent what it can, milliseconds. */
const QUIET_MS = 1_000;

/** Time after which a crowd that still sends is left to it, milliseconds. */
const MAX_SEND_MS = 8_000;

const POLL_MS = 50;

export function chunk(bytes: number, extension = ''): Buffer {
  return Buffer.from(`${bytes.toString(16)}${extension}\r\n${'x'.repeat(bytes)}\r\n`);
}

/** A chunked body of `bytes` in chunks of `chunkBytes`; the last byte and the end are missing unless it is whole. */
export function chunkedBody(
  head: string,
  bytes: number,
  chunkBytes: number,
  { isWhole = false, extension = '' } = {},
): Script {
  const whole = Math.floor((bytes - 1) / chunkBytes);
  const rest = bytes - whole * chunkBytes;
  const last = rest === 1 ? '' : chunk(rest - 1).toString();
  return {
    head: `${head}Transfer-Encoding: chunked\r\n\r\n`,
    piece: chunk(chunkBytes, extension),
    count: whole,
    end: `${last}${isWhole ? `${chunk(1).toString()}0\r\n\r\n` : ''}`,
    intervalMs: 0,
  };
}

/** Connects; errors are expected, as a server may close any of these connections. */
function connect(address: Address, isEncrypted: boolean): net.Socket {
  const options = { ...address, rejectUnauthorized: false };
  const socket = isEncrypted ? tls.connect(options) : net.connect(options);
  socket.on('error', () => undefined);
  // Each write that waits for its server adds one.
  socket.setMaxListeners(0);
  return socket;
}

async function send(socket: net.Socket, script: Script): Promise<void> {
  const write = (data: Buffer | string): Promise<void> =>
    new Promise((resolve) => {
      if (socket.write(data) || socket.destroyed) {
        resolve();
        return;
      }
      socket.once('drain', resolve).once('close', () => resolve());
    });
  await write(script.head);
  const { piece, intervalMs } = script;
  const perWrite = intervalMs > 0 ? 1 : Math.ceil(WRITE_BYTES / Math.max(1, piece.length));
  const pieces = Buffer.concat(Array<Buffer>(perWrite).fill(piece));
  for (let left = script.count; left > 0 && !socket.destroyed; left -= perWrite) {
    await write(left >= perWrite ? pieces : pieces.subarray(0, left * piece.length));
    if (intervalMs > 0) await sleep(intervalMs);
  }
  if (socket.destroyed) return;
  await write(script.end);
  if (script.isHalfClosing ?? false) socket.end();
}

export class Crowd {
  private readonly sockets: net.Socket[] = [];

  private readonly started: Promise<void>;

  private isLeaving = false;

  constructor(
    private readonly address: Address,
    private readonly scripts: readonly Script[],
    private readonly isEncrypted = false,
  ) {
    this.started = this.start();
  }

  /** Resolves when the crowd has sent all that it sends, or all that the server takes. */
  async sent(): Promise<void> {
    await this.started;
    const isEndless = this.scripts.some(({ intervalMs }) => intervalMs > 0);
    const startedAt = Date.now();
    let quietSince = startedAt;
    let before = -1;
    while (Date.now() - startedAt < MAX_SEND_MS) {
      const written = this.sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0);
      if (written !== before) quietSince = Date.now();
      before = written;
      if (!isEndless && Date.now() - quietSince > QUIET_MS) return;
      await sleep(POLL_MS);
    }
  }

  leave(): void {
    this.isLeaving = true;
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Connects one after the other, since an overloaded server refuses connections that come all at once. */
  private async start(): Promise<void> {
    for (const script of this.scripts) {
      if (this.isLeaving) return;
      const socket = connect(this.address, this.isEncrypted);
      if (script.isReading ?? true) socket.resume();
      else socket.pause();
      this.sockets.push(socket);
      void send(socket, script);
      await sleep(ARRIVAL_INTERVAL_MS);
    }
  }
}

/** Keeps `count` silent connections to an address, whatever becomes of them; the result ends that. */
export function insist(address: Address, count: number): () => void {
  const sockets = new Set<net.Socket>();
  let isOver = false;
  const open = (): void => {
    if (isOver) return;
    const socket = connect(address, false);
    socket.resume();
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      setTimeout(open, POLL_MS);
    });
  };
  for (let i = 0; i < count; i++) open();
  return () => {
    isOver = true;
    sockets.forEach((socket) => socket.destroy());
  };
}

/** Sends one request and resolves with all that comes back until the connection ends or falls silent. */
export async function exchange(address: Address, script: Script): Promise<string> {
  const socket = connect(address, false);
  let received = '';
  const answered = new Promise<void>((resolve) => {
    socket.on('data', (data) => {
      received += String(data);
      if (received.includes('\r\n\r\n')) setTimeout(resolve, QUIET_MS);
    });
    socket.once('close', () => resolve());
  });
  await send(socket, script);
  await answered;
  socket.destroy();
  return received;
}
