/**
 * The entry's side: asks the cell's allocator where to send a request, and places by itself when it is
 * the allocator or can't reach it. A silent allocator costs one timeout and is then left alone for a
 * while; membership finds out by itself whether it died.
 */
import type * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import * as outbox from '../replicas/outbox';
import type * as peerClient from '../rpc/peerClient';
import type * as adapter from '../targets/adapter';
import * as allocation from './allocation';
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

/** Beyond the allocator's own wait; then this daemon places by itself. */
const CALL_TIMEOUT_MS = 400;

/** How long an allocator that did not answer is left alone, in milliseconds. */
const AVOID_MS = 2_000;

interface Remote {
  address: string;
  request: Request;
}

export class Allocations {
  private readonly remote = new Map<string, Remote>();

  private readonly notes: outbox.Outbox<allocation.Note>;

  private avoidUntil = 0;

  constructor(private readonly options: Options) {
    this.notes = new outbox.Outbox((address, notes) => {
      options.client.notify(address, 'allocated', notes);
    });
  }

  async acquire(request: Request): Promise<Dispatch | router.Ended | Refusal> {
    const address = this.options.allocator();
    const usable = address !== '' && this.options.now() >= this.avoidUntil;
    if (!usable) return this.options.router.acquire(request);
    const remote = { address, request: this.withBroken(request) };
    this.remote.set(request.id, remote);
    return this.ask(remote);
  }

  /** The engine had no room for it; asks for the next target. */
  async refused(id: string, load: adapter.AgedLoad): Promise<Dispatch | router.Ended | Refusal> {
    const remote = this.remote.get(id);
    if (remote === undefined) return this.options.router.refused(id, load);
    this.tell(remote, 'noRoom', id, '', load);
    return this.ask(remote);
  }

  withdraw(id: string): void {
    const remote = this.remote.get(id);
    this.remote.delete(id);
    if (remote === undefined) this.options.router.withdraw(id);
    else this.tell(remote, 'withdrawn', id, '', undefined);
  }

  firstToken(id: string, target: string, load: adapter.AgedLoad | undefined): void {
    const remote = this.remote.get(id);
    if (remote === undefined) this.options.router.firstToken(id);
    else this.tell(remote, 'first', id, target, load);
  }

  ended(id: string, target: string, load: adapter.AgedLoad | undefined): void {
    const remote = this.remote.get(id);
    this.remote.delete(id);
    if (remote === undefined) this.options.router.ended(id);
    else this.tell(remote, 'ended', id, target, load);
  }

  private withBroken(request: Request): Request {
    const broken = this.options.router.brokenTargets();
    return { ...request, excluded: new Set([...request.excluded, ...broken]) };
  }

  private tell(
    { address }: Remote,
    kind: allocation.NoteKind,
    id: string,
    target: string,
    load: adapter.AgedLoad | undefined,
  ): void {
    this.notes.add(address, [kind, id, target, allocation.packLoad(load)]);
  }

  private async ask(remote: Remote): Promise<Dispatch | router.Ended | Refusal> {
    const { client, self, now } = this.options;
    const { request, address } = remote;
    for (;;) {
      if (now() >= request.deadline) return this.giveUp(request.id, 'deadline');
      const ask = allocation.pack(self, request, now());
      const call = { timeoutMs: CALL_TIMEOUT_MS };
      const answer = await client.call<allocation.Told>(address, 'allocate', ask, call);
      if (!this.remote.has(request.id)) return 'withdrawn';
      if (answer.err) return this.placeAlone(remote);
      const told = answer.val;
      if (told[0] === 'refused') return this.end(request.id, told[1]);
      if (told[0] === 'ended') return this.end(request.id, told[1]);
      if (told[0] === 'placed') {
        const dispatch = this.dispatchOf(request, told);
        // A target that only the allocator knows of is none here yet.
        return dispatch ?? this.placeAlone(remote);
      }
    }
  }

  private dispatchOf(
    request: Request,
    [, name, band, enginePriority, needsRoom]: Extract<
      allocation.Told,
      readonly ['placed', ...unknown[]]
    >,
  ): Dispatch | undefined {
    const target = this.options.target(name);
    if (target === undefined) return undefined;
    return { request, target, band, enginePriority, needsRoom, predictedMs: 0 };
  }

  private end<T extends router.Ended | Refusal>(id: string, reason: T): T {
    this.remote.delete(id);
    return reason;
  }

  private giveUp(id: string, reason: router.Ended): router.Ended {
    this.withdraw(id);
    return reason;
  }

  private placeAlone(remote: Remote): Promise<Dispatch | router.Ended | Refusal> {
    this.withdraw(remote.request.id);
    this.avoidUntil = this.options.now() + AVOID_MS;
    this.options.observer.count('allocation.alone');
    return this.options.router.acquire(remote.request);
  }
}
