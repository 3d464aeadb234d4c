/**
 * Server side of allocation: places requests of other daemons with the local router. Calls are idempotent
 * by the attempt's id, so a call whose reply was lost can be repeated and returns the same placement.
 */
import type * as domain from '@celerydrift/domain';
import type * as peerServer from '../rpc/peerServer';
import * as allocationMessages from './allocationMessages';
import type * as router from './router';

type Dispatch = domain.routing.dispatcher.Dispatch;

export interface Options {
  router: router.Router;
  now: () => number;
  /** Whether a daemon is known to be dead. */
  isDead: (daemon: string) => boolean;
}

/** Longest wait for a placement in one call; the entry then repeats the call. */
const MAX_PLACEMENT_WAIT_MS = 200;

/** A request without a placement is dropped if its entry has not called for this long: it gave up or died. */
const ABANDONED_AFTER_MS = 2_000;

const SWEEP_INTERVAL_MS = 500;

/** A request of another daemon, waiting or placed. */
interface Allocation {
  owner: string;
  deadline: number;
  lastRequestAt: number;
  /** Undefined until the router has decided. */
  reply: allocationMessages.AllocateReply | undefined;
  pending: Promise<void>;
}

function replyOf(
  result: Awaited<ReturnType<router.Router['acquire']>>,
): allocationMessages.AllocateReply {
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
    server.add('allocate', (parameters) =>
      this.allocate(parameters as allocationMessages.AllocateRequest),
    );
    server.add('allocated', (parameters) => {
      (parameters as allocationMessages.Notification[]).forEach((note) =>
        this.handleNotification(note),
      );
    });
    this.timer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async allocate(
    request: allocationMessages.AllocateRequest,
  ): Promise<allocationMessages.AllocateReply> {
    const now = this.options.now();
    const [owner, id] = request;
    const allocation =
      this.allocations.get(id) ??
      this.place(owner, allocationMessages.unpackRequest(request, now), now);
    allocation.lastRequestAt = now;
    if (allocation.reply === undefined) {
      await Promise.race([
        allocation.pending,
        new Promise((resolve) => {
          setTimeout(resolve, MAX_PLACEMENT_WAIT_MS);
        }),
      ]);
    }
    const reply = allocation.reply ?? ['wait'];
    if (reply[0] === 'refused' || reply[0] === 'ended') this.allocations.delete(id);
    return reply;
  }

  private place(
    owner: string,
    request: domain.routing.dispatcher.Request,
    now: number,
  ): Allocation {
    const pending = Promise.resolve();
    const { deadline } = request;
    const allocation: Allocation = {
      owner,
      deadline,
      lastRequestAt: now,
      reply: undefined,
      pending,
    };
    this.allocations.set(request.id, allocation);
    this.trackPlacement(allocation, this.options.router.acquire(request));
    return allocation;
  }

  private trackPlacement(
    allocation: Allocation,
    result: Promise<Dispatch | router.DequeueReason | domain.routing.dispatcher.Refusal>,
  ): void {
    allocation.reply = undefined;
    allocation.pending = result.then((placement) => {
      allocation.reply = replyOf(placement);
    });
  }

  private handleNotification([
    kind,
    id,
    target,
    packedLoad,
  ]: allocationMessages.Notification): void {
    const { router: localRouter } = this.options;
    const load = allocationMessages.unpackLoad(packedLoad);
    if (load !== undefined && kind !== 'noRoom') localRouter.reportLoad(target, load);
    const allocation = this.allocations.get(id);
    if (allocation === undefined) return;
    if (kind === 'first') localRouter.firstToken(id);
    else if (kind === 'noRoom' && load !== undefined)
      this.trackPlacement(allocation, localRouter.requeue(id, load));
    else this.remove(id);
  }

  private remove(id: string): void {
    this.allocations.delete(id);
    this.options.router.withdraw(id);
    this.options.router.finished(id);
  }

  /**
   * Removes allocations of dead entries and of lost notifications; otherwise the allocator would keep
   * counting them as load and consider targets full.
   */
  private sweep(): void {
    const now = this.options.now();
    this.allocations.forEach((allocation, id) => {
      const isAbandoned =
        allocation.reply === undefined && now - allocation.lastRequestAt > ABANDONED_AFTER_MS;
      if (isAbandoned || allocation.deadline < now || this.options.isDead(allocation.owner))
        this.remove(id);
    });
  }
}
