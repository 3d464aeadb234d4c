/**
 * The allocator's side: places requests of other daemons with its own router. An ask is idempotent by
 * the attempt's id, so one whose answer was lost is asked again and gets the same placement.
 */
import type * as domain from '@celerydrift/domain';
import type * as peerServer from '../rpc/peerServer';
import * as allocation from './allocation';
import type * as router from './router';

type Dispatch = domain.routing.dispatcher.Dispatch;

export interface Options {
  router: router.Router;
  now: () => number;
  /** Whether a daemon is known to be dead. */
  isDead: (daemon: string) => boolean;
}

/** Longest wait for a placement in one call; then the entry asks again. */
const WAIT_MS = 200;

/** An entry that has not asked for so long has given up or died. */
const ABANDONED_MS = 2_000;

const SWEEP_EVERY_MS = 500;

interface Allocation {
  owner: string;
  deadline: number;
  askedAt: number;
  told: allocation.Told | undefined;
  pending: Promise<void>;
}

function toldOf(result: Awaited<ReturnType<router.Router['acquire']>>): allocation.Told {
  if (result === 'withdrawn' || result === 'deadline') return ['ended', result];
  if (typeof result === 'string') return ['refused', result];
  const { target, band, enginePriority, needsRoom } = result;
  return ['placed', target.name, band, enginePriority, needsRoom];
}

export class Allocator {
  private readonly allocations = new Map<string, Allocation>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: Options) {}

  start(server: peerServer.PeerServer): void {
    server.add('allocate', (parameters) => this.allocate(parameters as allocation.Ask));
    server.add('allocated', (parameters) => {
      (parameters as allocation.Note[]).forEach((note) => this.note(note));
    });
    this.timer = setInterval(() => this.sweep(), SWEEP_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async allocate(ask: allocation.Ask): Promise<allocation.Told> {
    const now = this.options.now();
    const [owner, id] = ask;
    const known = this.allocations.get(id) ?? this.take(owner, allocation.unpack(ask, now), now);
    known.askedAt = now;
    if (known.told === undefined) {
      await Promise.race([
        known.pending,
        new Promise((resolve) => {
          setTimeout(resolve, WAIT_MS);
        }),
      ]);
    }
    const told = known.told ?? ['wait'];
    if (told[0] === 'refused' || told[0] === 'ended') this.allocations.delete(id);
    return told;
  }

  private take(owner: string, request: domain.routing.dispatcher.Request, now: number): Allocation {
    const pending = Promise.resolve();
    const { deadline } = request;
    const made: Allocation = { owner, deadline, askedAt: now, told: undefined, pending };
    this.allocations.set(request.id, made);
    this.await(made, this.options.router.acquire(request));
    return made;
  }

  private await(
    made: Allocation,
    result: Promise<Dispatch | router.Ended | domain.routing.dispatcher.Refusal>,
  ): void {
    made.told = undefined;
    made.pending = result.then((answer) => {
      made.told = toldOf(answer);
    });
  }

  private note([kind, id, target, packed]: allocation.Note): void {
    const { router: own } = this.options;
    const load = allocation.unpackLoad(packed);
    if (load !== undefined && kind !== 'noRoom') own.load(target, load);
    const known = this.allocations.get(id);
    if (known === undefined) return;
    if (kind === 'first') own.firstToken(id);
    else if (kind === 'noRoom' && load !== undefined) this.await(known, own.refused(id, load));
    else this.drop(id);
  }

  private drop(id: string): void {
    this.allocations.delete(id);
    this.options.router.withdraw(id);
    this.options.router.ended(id);
  }

  /** Frees what dead entries and lost notes left: without it the allocator would believe targets full. */
  private sweep(): void {
    const now = this.options.now();
    this.allocations.forEach((known, id) => {
      const abandoned = known.told === undefined && now - known.askedAt > ABANDONED_MS;
      if (abandoned || known.deadline < now || this.options.isDead(known.owner)) this.drop(id);
    });
  }
}
