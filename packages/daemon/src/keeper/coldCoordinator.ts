/**
 * Applies, on the leader, the decision which targets are cold: sets their rate limits, publishes these to all followers
 * and ends them. A limit is recorded before the record that makes its target usable, so no follower has the record alone.
 */
import * as domain from '@celerydrift/domain';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';

const { keyOf } = domain.rateLimits.rateLimits;
const { LEADER_SHARE } = domain.coldTargets.coldShares;

type Announcement = domain.registry.registry.Announcement;
type RateLimit = domain.rateLimits.rateLimits.RateLimit;

export interface Dependencies {
  limits: domain.rateLimits.rateLimits.RateLimits;
  registry: Pick<domain.registry.registry.Registry, 'get' | 'records' | 'targetsAt'>;
  directory: () => domain.catalogue.directory.Directory | undefined;
  /** Whether a quorum confirmed the leadership recently; it may have ended unnoticed while this process was frozen. */
  hasQuorumContact: () => boolean;
  observer: observer.Observer;
  now: () => number;
  /** Publishes limits to all followers. */
  publish: (limits: RateLimit[]) => void;
}

export class ColdCoordinator {
  private readonly targets = new domain.coldTargets.coldTargets.ColdTargets((service) => {
    return this.ruleOf(service);
  });

  /** Addresses whose limit ended under this leadership, so that followers that missed the end don't bring it back. */
  private readonly ended = new Set<string>();

  private isLeading = false;

  private isGranting = false;

  constructor(private readonly dependencies: Dependencies) {}

  /** Starts or stops when a leadership begins or ends. */
  setLeading(isLeading: boolean): void {
    const { limits, now } = this.dependencies;
    this.isLeading = isLeading;
    this.ended.clear();
    this.targets.begin(this.liveTargets(), (record) => limits.isCold(record), now());
    this.checkQuorum();
    if (isLeading) this.recorded(this.liveTargets());
  }

  tick(): void {
    this.checkQuorum();
    if (!this.isNeeded) {
      // The lifetimes known as warm are kept for a catalogue that limits cold targets later.
      this.targets.retain(this.liveTargets());
      return;
    }
    const { limits, now } = this.dependencies;
    const desired = this.targets.limits(this.liveTargets(), now());
    const kept = new Set(desired.map(keyOf));
    const ended = limits.allCold().filter((limit) => !kept.has(keyOf(limit)));
    this.apply([...ended.map((limit) => ({ ...limit, perSecond: undefined })), ...desired]);
  }

  /** Grants nothing to cold targets while it is uncertain that this process still leads. Called before each grant. */
  checkQuorum(): void {
    const { limits, hasQuorumContact, now } = this.dependencies;
    if (this.isLeading && limits.coldSize === 0) return;
    const mayGrant = this.isLeading && hasQuorumContact();
    if (mayGrant === this.isGranting) return;
    this.isGranting = mayGrant;
    limits.setColdShare(() => (mayGrant ? LEADER_SHARE : 0), now());
  }

  /** Takes a target's announcement that the registry has applied, before its record is published. */
  announced(announcement: Announcement): void {
    const { registry, directory, now } = this.dependencies;
    const record = registry.get(announcement.id);
    if (record?.bornAt !== announcement.bornAt || record.state === 'gone') return;
    this.targets.observe(announcement, now(), directory() !== undefined);
    this.recorded([record]);
  }

  /** Limits targets that have become usable, before their records are published. */
  recorded(records: readonly Announcement[]): void {
    if (!this.isNeeded) return;
    const live = records.filter(({ state }) => state !== 'gone');
    this.apply(
      live.flatMap((record) => this.targets.limitOf(record, this.dependencies.now()) ?? []),
    );
  }

  /** Takes limits that a follower of another leader knows. */
  merge(reports: readonly RateLimit[]): void {
    const { limits, registry } = this.dependencies;
    const unknown = reports.filter((limit) => {
      return limit.source === 'cold' && !limits.isCold(limit) && !this.ended.has(keyOf(limit));
    });
    this.restart(unknown.flatMap((limit) => registry.targetsAt(limit)));
  }

  /** Takes what entries' targets answered. */
  answered(answers: readonly messages.ColdAnswer[]): void {
    const { registry, now } = this.dependencies;
    answers.forEach((answer) => {
      const records = registry.targetsAt(answer);
      records.forEach((record) => this.targets.answered(record, answer.coldForMs, now()));
      this.recorded(records);
    });
  }

  /** The targets of a data centre got no requests until now; they may be cold without having reported it. */
  evacuationEnded(dataCentre: string): void {
    if (!this.isLeading) return;
    this.restart(this.liveTargets().filter((record) => record.dataCentre === dataCentre));
  }

  private restart(records: readonly Announcement[]): void {
    this.targets.restart(records, this.dependencies.now());
    this.recorded(records);
  }

  /** Whether any service limits its cold targets, or a limit of one is left. */
  private get isNeeded(): boolean {
    const { limits, directory } = this.dependencies;
    const services = directory()?.catalogue.services ?? [];
    return limits.coldSize > 0 || services.some(({ coldPerSecond = 0 }) => coldPerSecond > 0);
  }

  private ruleOf(service: string): domain.coldTargets.coldTargets.ColdRule | undefined {
    const { coldStartMs = 0, coldPerSecond = 0 } =
      this.dependencies.directory()?.service(service) ?? {};
    return coldPerSecond > 0 ? { coldStartMs, perSecond: coldPerSecond } : undefined;
  }

  private liveTargets(): Announcement[] {
    return this.dependencies.registry.records().filter(({ state }) => state !== 'gone');
  }

  /**
   * Sets limits and publishes those that begin, end or become lower. Only the leader needs the rising rates after a cold
   * period, so they aren't sent to hundreds of followers.
   */
  private apply(changes: readonly RateLimit[]): void {
    const { limits, now, publish } = this.dependencies;
    const published = changes.filter((limit) => {
      const before = limits.coldRateAt(limit);
      if (!limits.set(limit, now())) return false;
      if (before === undefined || limit.perSecond === undefined) this.log(limit);
      return before === undefined || !(Number(limit.perSecond) > before);
    });
    if (published.length > 0) publish(published);
  }

  private log({ service, address, perSecond }: RateLimit): void {
    const { observer: observe } = this.dependencies;
    const key = keyOf({ service, address });
    if (perSecond === undefined) {
      this.ended.add(key);
      observe.log('coldEnded', { service, address });
    } else {
      this.ended.delete(key);
      observe.log('targetCold', { service, address, perSecond });
    }
  }
}
