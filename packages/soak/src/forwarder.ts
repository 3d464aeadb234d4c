/**
 * TCP forwarders on loopback addresses between the processes of a run. Connections through them can be delayed,
 * reset, cut in one or both directions, or blackholed permanently. The source address identifies the calling process,
 * since each process binds its own.
 */
import * as net from 'node:net';

type Direction = 'forward' | 'backward';

/** A connection to the forwarder and the one it opens to the process behind it. */
interface ForwardedConnection {
  source: string;
  target: string;
  caller: net.Socket;
  callee: net.Socket;
  isBlackholed: boolean;
}

/** A side of a connection isn't read while this many pieces of its bytes wait for the other one. */
const MAX_QUEUED_PIECES = 64;

/** How often a cut link is checked. Its bytes are held until it is restored, as TCP would retransmit them. */
const CUT_POLL_MS = 50;

export class Network {
  /** Links that are cut, as SOURCE>TARGET. */
  private readonly cutLinks = new Set<string>();

  /** Links on which connections are refused, as SOURCE>TARGET. */
  private readonly refusedLinks = new Set<string>();

  /** Processes whose connections are accepted, but carry no bytes. */
  private readonly heldTargets = new Set<string>();

  private readonly connections = new Set<ForwardedConnection>();

  private readonly servers: net.Server[] = [];

  delayMs = 0;

  /** Listens at `forwarded` and forwards connections to the same port of `target`. */
  async forward(forwarded: string, target: string, port: number): Promise<void> {
    const server = net.createServer({ allowHalfOpen: true }, (caller) => {
      this.connect(caller, target, port);
    });
    this.servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, forwarded, resolve);
    });
  }

  cut(source: string, target: string): void {
    this.cutLinks.add(`${source}>${target}`);
  }

  restore(source: string, target: string): void {
    this.cutLinks.delete(`${source}>${target}`);
  }

  /** Resets the open connections of a link and refuses new ones. */
  refuse(source: string, target: string): void {
    this.refusedLinks.add(`${source}>${target}`);
    const isOnLink = (each: ForwardedConnection): boolean =>
      each.source === source && each.target === target;
    [...this.connections].filter(isOnLink).forEach(resetBoth);
  }

  accept(source: string, target: string): void {
    this.refusedLinks.delete(`${source}>${target}`);
  }

  /** Holds all bytes to and from a process. */
  hold(target: string): void {
    this.heldTargets.add(target);
  }

  release(target: string): void {
    this.heldTargets.delete(target);
  }

  restoreAll(): void {
    this.heldTargets.clear();
    this.cutLinks.clear();
    this.refusedLinks.clear();
    this.delayMs = 0;
  }

  /** Stops all delivery on the selected open connections without closing them. */
  blackhole(isSelected: () => boolean): void {
    [...this.connections].filter(isSelected).forEach((connection) => {
      connection.isBlackholed = true;
    });
  }

  reset(isSelected: () => boolean): void {
    [...this.connections].filter(isSelected).forEach(resetBoth);
  }

  close(): void {
    this.servers.forEach((server) => server.close());
    this.connections.forEach(({ caller, callee }) => {
      caller.destroy();
      callee.destroy();
    });
  }

  private connect(caller: net.Socket, target: string, port: number): void {
    const source = caller.remoteAddress ?? '';
    if (this.refusedLinks.has(`${source}>${target}`)) {
      caller.resetAndDestroy();
      return;
    }
    // Keeps the caller's address as the source, as the callee identifies callers by it too.
    const callee = net.connect({
      host: target,
      port,
      localAddress: source,
      allowHalfOpen: true,
      noDelay: true,
    });
    caller.setNoDelay(true);
    const connection: ForwardedConnection = { source, target, caller, callee, isBlackholed: false };
    this.connections.add(connection);
    this.relay(connection, 'forward');
    this.relay(connection, 'backward');
    caller.once('close', () => this.connections.delete(connection));
  }

  private isOpen(
    { isBlackholed, source, target }: ForwardedConnection,
    direction: Direction,
  ): boolean {
    if (isBlackholed || this.heldTargets.has(target)) return false;
    const link = direction === 'forward' ? `${source}>${target}` : `${target}>${source}`;
    return !this.cutLinks.has(link);
  }

  private relay(connection: ForwardedConnection, direction: Direction): void {
    const [from, to] =
      direction === 'forward'
        ? [connection.caller, connection.callee]
        : [connection.callee, connection.caller];
    const queue: (() => void)[] = [];
    let isDraining = false;
    const drain = (): void => {
      if (connection.caller.destroyed && connection.callee.destroyed) return;
      if (!this.isOpen(connection, direction)) {
        setTimeout(drain, CUT_POLL_MS);
        return;
      }
      queue.splice(0).forEach((step) => step());
      isDraining = false;
      if (!to.writableNeedDrain) from.resume();
    };
    const enqueue = (action: () => void): void => {
      queue.push(action);
      if (isDraining) return;
      isDraining = true;
      if (this.delayMs > 0) setTimeout(drain, this.delayMs);
      else drain();
    };
    from.on('data', (bytes: Buffer) => {
      enqueue(() => {
        if (!to.write(bytes)) from.pause();
      });
      if (queue.length >= MAX_QUEUED_PIECES) from.pause();
    });
    to.on('drain', () => from.resume());
    from.on('end', () => enqueue(() => to.end()));
    from.on('error', () => enqueue(() => to.resetAndDestroy()));
    from.on('close', () => enqueue(() => to.destroy()));
  }
}

function resetBoth({ caller, callee }: ForwardedConnection): void {
  caller.resetAndDestroy();
  callee.resetAndDestroy();
}
