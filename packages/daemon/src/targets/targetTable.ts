/**
 * The targets that this daemon knows from announcements, keepers and gossip. Keepers hold the leases of
 * targets; a daemon that receives an announcement forwards it to the target's keepers.
 */
import * as domain from '@celerydrift/domain';
import type * as members from '../membership/members';
import type * as observer from '../observability/observer';
import type * as peerClient from '../rpc/peerClient';
import type * as peerServer from '../rpc/peerServer';

type Target = domain.target.target.Target;

export interface Options {
  client: peerClient.PeerClient;
  observer: observer.Observer;
  hash: domain.shared.hashing.Hash;
  now: () => number;
  members: () => members.Members;
  onChange: (target: Target, before: Target | undefined) => void;
}

const FORWARD_TIMEOUT_MS = 500;

const EXPIRE_INTERVAL_MS = 500;

/** Interval of recomputing which targets this daemon keeps; long because each run ranks all targets. */
const ADOPT_INTERVAL_MS = 3_000;

/** Short form of an announcement, sufficient for a keeper while no other field of the target changes. */
type Renewal = [name: string, incarnation: number, sequence: number];

export class TargetTable {
  private readonly targets = new Map<string, Target>();

  private readonly keeper = new domain.target.keeper.Keeper();

  private timers: NodeJS.Timeout[] = [];

  constructor(private readonly options: Options) {}

  start(server: peerServer.PeerServer): void {
    server.add('announce', (parameters) => {
      this.acceptAsKeeper(parameters as Target);
      return { taken: true };
    });
    server.add('renew', (parameters) => {
      const [name, incarnation, sequence] = parameters as Renewal;
      return this.keeper.renew(name, incarnation, sequence, this.options.now());
    });
    this.timers = [
      setInterval(() => this.expireLeases(), EXPIRE_INTERVAL_MS),
      setInterval(() => this.adoptLeases(), ADOPT_INTERVAL_MS),
    ];
  }

  stop(): void {
    this.timers.forEach((timer) => clearInterval(timer));
  }

  list(): Target[] {
    return [...this.targets.values()];
  }

  get(name: string): Target | undefined {
    return this.targets.get(name);
  }

  /** Number of targets whose lease this daemon holds as their keeper. */
  get kept(): number {
    return this.keeper.size;
  }

  /** Handles an announcement that the load balancer sent to this daemon. */
  async handleAnnouncement(target: Target): Promise<void> {
    if (target.status === 'leaving' && this.get(target.name)?.status !== 'leaving') {
      this.merge(target);
      await this.options.members().push({ kind: 'target', target });
    }
    const current = this.get(target.name);
    const isUnchanged =
      current !== undefined && !domain.target.target.isSignificantChange(target, current);
    const { self } = this.options.members();
    const keepers = this.keepersOf(target);
    if (keepers.includes(self.id)) this.acceptAsKeeper(target);
    const others = keepers.filter((id) => id !== self.id);
    await Promise.all(others.map((id) => this.forward(id, target, isUnchanged)));
  }

  /** Applies a record from gossip, a push or a keeper; returns whether it was newer than the known one. */
  merge(target: Target): boolean {
    const before = this.targets.get(target.name);
    if (!domain.target.target.isNewer(target, before)) return false;
    this.targets.set(target.name, target);
    if (before?.status !== target.status) this.logStatus(target);
    this.options.onChange(target, before);
    return true;
  }

  private logStatus({ name, status, incarnation }: Target): void {
    const event =
      status === 'serving'
        ? 'targetServing'
        : status === 'leaving'
          ? 'targetLeaving'
          : 'targetGone';
    this.options.observer.log(event, { target: name, incarnation });
  }

  private keepersOf({ name, dataCentre }: Target): readonly string[] {
    const localDaemons = this.options.members().liveIn(dataCentre);
    // A data centre may have targets but no live daemon; the daemons of this data centre then keep them.
    const { self } = this.options.members();
    const candidates =
      localDaemons.length > 0 ? localDaemons : this.options.members().liveIn(self.dataCentre);
    return domain.target.keeper.keepersOf(this.options.hash, name, candidates);
  }

  private async forward(id: string, target: Target, isUnchanged: boolean): Promise<void> {
    const peer = this.options.members().detector.get(id);
    if (peer === undefined) return;
    const { client } = this.options;
    const callOptions = { timeoutMs: FORWARD_TIMEOUT_MS };
    if (isUnchanged) {
      const renewal: Renewal = [target.name, target.incarnation, target.sequence];
      const renewed = await client.call<boolean>(peer.address, 'renew', renewal, callOptions);
      if (renewed.ok && renewed.val) return;
    }
    const announced = await client.call(peer.address, 'announce', target, callOptions);
    // An unreachable keeper must not make a target look gone, so this daemon acts as keeper and spreads it.
    if (announced.err) this.acceptAsKeeper(target);
  }

  private acceptAsKeeper(target: Target): void {
    const isSignificant = this.keeper.announce(target, this.options.now());
    if (!this.merge(target)) return;
    if (isSignificant) this.options.members().post({ kind: 'target', target });
  }

  /** Adopts leases of targets whose keeper this daemon has become, and drops those that others keep now. */
  private adoptLeases(): void {
    const now = this.options.now();
    const { self } = this.options.members();
    this.targets.forEach((target) => {
      const isKeeper = this.keepersOf(target).includes(self.id);
      if (isKeeper && target.status === 'serving') this.keeper.startLease(target, now);
      if (!isKeeper) this.keeper.drop(target.name);
    });
  }

  private expireLeases(): void {
    this.keeper.expire(this.options.now()).forEach((gone) => {
      if (this.merge(gone)) void this.options.members().push({ kind: 'target', target: gone });
    });
  }
}
