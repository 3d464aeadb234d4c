/**
 * Client side of allocation: requests placements from the cell's allocator, and places locally when this
 * daemon is the allocator or can't reach it. An allocator that doesn't answer costs one timeout and is then
 * skipped during a back-off; membership detects independently whether it died.
 */
import type * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import * as outbox from '../replicas/outbox';
import type * as peerClient from '../rpc/peerClient';
import type * as agedLoad from '../targets/agedLoad';
import * as allocationMessages from './allocationMessages';
import type * as router from './router';

type Request = domain.routing.dispatcher.Request;
type Dispatch = domain.routing.dispatcher.Dispatch;
type Refusal = domain.routing.dispatcher.Refusal;

export interface Options {
  self: string;
  router: router.Router;
  client: peerClient.PeerClient;
  observer: observer.Observer;
  now: () => number;
  /** Peer address of the cell's allocator, or empty when it is this daemon. */
  allocator: () => string;
  target: (name: string) => domain.target.target.Target | undefined;
}

/** Longer than the allocator's own wait for a placement; after it this daemon places locally. */
const ALLOCATE_TIMEOUT_MS = 400;

/** How long an allocator that did not answer is skipped. */
const ALLOCATOR_BACK_OFF_MS = 2_000;

/** A request that is placed by a remote allocator. */
interface RemoteRequest {
  address: string;
  request: Request;
}

export class AllocationClient {
  private readonly remoteRequests = new Map<string, RemoteRequest>();

  private readonly notifications: outbox.Outbox<allocationMessages.Notification>;

  private backOffUntil = 0;

  constructor(private readonly options: Options) {
    this.notifications = new outbox.Outbox((address, batch) => {
      options.client.notify(address, 'allocated', batch);
    });
  }

  async acquire(request: Request): Promise<Dispatch | router.DequeueReason | Refusal> {
    const address = this.options.allocator();
    const isUsable = address !== '' && this.options.now() >= this.backOffUntil;
    if (!isUsable) return this.options.router.acquire(request);
    const remote = { address, request: this.withOpenCircuitsExcluded(request) };
    this.remoteRequests.set(request.id, remote);
    return this.requestPlacement(remote);
  }

  /** Requests the next target after an engine refused for lack of memory. */
  async requeue(
    id: string,
    load: agedLoad.AgedLoad,
  ): Promise<Dispatch | router.DequeueReason | Refusal> {
    const remote = this.remoteRequests.get(id);
    if (remote === undefined) return this.options.router.requeue(id, load);
    this.notify(remote, 'noRoom', id, '', load);
    return this.requestPlacement(remote);
  }

  withdraw(id: string): void {
    const remote = this.remoteRequests.get(id);
    this.remoteRequests.delete(id);
    if (remote === undefined) this.options.router.withdraw(id);
    else this.notify(remote, 'withdrawn', id, '', undefined);
  }

  firstToken(id: string, target: string, load: agedLoad.AgedLoad | undefined): void {
    const remote = this.remoteRequests.get(id);
    if (remote === undefined) this.options.router.firstToken(id);
    else this.notify(remote, 'first', id, target, load);
  }

  finished(id: string, target: string, load: agedLoad.AgedLoad | undefined): void {
    const remote = this.remoteRequests.get(id);
    this.remoteRequests.delete(id);
    if (remote === undefined) this.options.router.finished(id);
    else this.notify(remote, 'ended', id, target, load);
  }

  private withOpenCircuitsExcluded(request: Request): Request {
    const openCircuits = this.options.router.openCircuitTargets();
    return { ...request, excluded: new Set([...request.excluded, ...openCircuits]) };
  }

  private notify(
    { address }: RemoteRequest,
    kind: allocationMessages.NotificationKind,
    id: string,
    target: string,
    load: agedLoad.AgedLoad | undefined,
  ): void {
    this.notifications.add(address, [kind, id, target, allocationMessages.packLoad(load)]);
  }

  private async requestPlacement(
    remote: RemoteRequest,
  ): Promise<Dispatch | router.DequeueReason | Refusal> {
    const { client, self, now } = this.options;
    const { request, address } = remote;
    for (;;) {
      if (now() >= request.deadline) return this.giveUp(request.id, 'deadline');
      const allocateRequest = allocationMessages.packRequest(self, request, now());
      const callOptions = { timeoutMs: ALLOCATE_TIMEOUT_MS };
      const answer = await client.call<allocationMessages.AllocateReply>(
        address,
        'allocate',
        allocateRequest,
        callOptions,
      );
      if (!this.remoteRequests.has(request.id)) return 'withdrawn';
      if (answer.err) return this.placeLocally(remote);
      const reply = answer.val;
      if (reply[0] === 'refused') return this.endRemote(request.id, reply[1]);
      if (reply[0] === 'ended') return this.endRemote(request.id, reply[1]);
      if (reply[0] === 'placed') {
        const dispatch = this.dispatchOf(request, reply);
        // The allocator may know a target that this daemon has not received yet.
        return dispatch ?? this.placeLocally(remote);
      }
    }
  }

  private dispatchOf(
    request: Request,
    [, name, band, enginePriority, needsRoom]: Extract<
      allocationMessages.AllocateReply,
      readonly ['placed', ...unknown[]]
    >,
  ): Dispatch | undefined {
    const target = this.options.target(name);
    if (target === undefined) return undefined;
    return { request, target, band, enginePriority, needsRoom, predictedMs: 0 };
  }

  private endRemote<T extends router.DequeueReason | Refusal>(id: string, reason: T): T {
    this.remoteRequests.delete(id);
    return reason;
  }

  private giveUp(id: string, reason: router.DequeueReason): router.DequeueReason {
    this.withdraw(id);
    return reason;
  }

  private placeLocally(remote: RemoteRequest): Promise<Dispatch | router.DequeueReason | Refusal> {
    this.withdraw(remote.request.id);
    this.backOffUntil = this.options.now() + ALLOCATOR_BACK_OFF_MS;
    this.options.observer.count('allocation.alone');
    return this.options.router.acquire(remote.request);
  }
}
