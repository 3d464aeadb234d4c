/**
 * Loopback forwarders between the processes: connections through them can be delayed, reset, cut in one or both
 * directions, or silenced for good. Who calls is told by the source address, as each process binds its own.
 */
import * as net from 'node:net';

type Direction = 'forth' | 'back';

/** One connection and its continuation to the process behind the forwarder. */
interface Pair {
  source: string;
  target: string;
  caller: net.Socket;
  callee: net.Socket;
  isSilent: boolean;
}

/** Bytes of a way that is cut wait here, as a network would send them again later. */
const RETRY_MS = 50;

export class Network {
  /** Ways that are cut, as SOURCE>TARGET. */
  private readonly cuts = new Set<string>();

  private readonly pairs = new Set<Pair>();

  private readonly servers: net.Server[] = [];

  delayMs = 0;

  /** Listens at `forwarded` for what goes to `target`, on the same port. */
  async forward(forwarded: string, target: string, port: number): Promise<void> {
    const server = net.createServer({ allowHalfOpen: true }, (caller) => {
      this.accept(caller, target, port);
    });
    this.servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, forwarded, resolve);
    });
  }

  cut(source: string, target: string): void {
    this.cuts.add(`${source}>${target}`);
  }

  mend(source: string, target: string): void {
    this.cuts.delete(`${source}>${target}`);
  }

  heal(): void {
    this.cuts.clear();
    this.delayMs = 0;
  }

  /** Open connections that `hits` picks carry nothing any more and aren't closed either. */
  silence(hits: () => boolean): void {
    [...this.pairs].filter(hits).forEach((pair) => {
      pair.isSilent = true;
    });
  }

  reset(hits: () => boolean): void {
    [...this.pairs].filter(hits).forEach(({ caller, callee }) => {
      caller.resetAndDestroy();
      callee.resetAndDestroy();
    });
  }

  close(): void {
    this.servers.forEach((server) => server.close());
    this.pairs.forEach(({ caller, callee }) => {
      caller.destroy();
      callee.destroy();
    });
  }

  private accept(caller: net.Socket, target: string, port: number): void {
    const source = caller.remoteAddress ?? '';
    // The callee, too, tells by the address who calls.
    const callee = net.connect({
      host: target,
      port,
      localAddress: source,
      allowHalfOpen: true,
      noDelay: true,
    });
    caller.setNoDelay(true);
    const pair: Pair = { source, target, caller, callee, isSilent: false };
    this.pairs.add(pair);
    this.pump(pair, 'forth');
    this.pump(pair, 'back');
    caller.once('close', () => this.pairs.delete(pair));
  }

  private isOpen({ isSilent, source, target }: Pair, direction: Direction): boolean {
    if (isSilent) return false;
    const way = direction === 'forth' ? `${source}>${target}` : `${target}>${source}`;
    return !this.cuts.has(way);
  }

  private pump(pair: Pair, direction: Direction): void {
    const [from, to] =
      direction === 'forth' ? [pair.caller, pair.callee] : [pair.callee, pair.caller];
    const queue: (() => void)[] = [];
    let isDraining = false;
    const drain = (): void => {
      if (pair.caller.destroyed && pair.callee.destroyed) return;
      if (!this.isOpen(pair, direction)) {
        setTimeout(drain, RETRY_MS);
        return;
      }
      queue.splice(0).forEach((step) => step());
      isDraining = false;
    };
    const pass = (step: () => void): void => {
      queue.push(step);
      if (isDraining) return;
      isDraining = true;
      if (this.delayMs > 0) setTimeout(drain, this.delayMs);
      else drain();
    };
    from.on('data', (bytes: Buffer) => pass(() => to.write(bytes)));
    from.on('end', () => pass(() => to.end()));
    from.on('error', () => pass(() => to.resetAndDestroy()));
    from.on('close', () => pass(() => to.destroy()));
  }
}
