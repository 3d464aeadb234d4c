/**
 * Tracks, on the leader, requests that crash targets: it counts the crashes that entries report, allows suspect
 * requests to run one at a time as canaries, and publishes the status of each to all followers. Entries enforce a
 * quarantine by themselves; only the leader ends it.
 */
import * as domain from '@celerydrift/domain';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';

type StatusChange = domain.quarantine.quarantine.StatusChange;
type SuspectReport = domain.quarantine.suspect.SuspectReport;

/**
 * How long after a crash an announcement sent before it may still arrive, in milliseconds: a usual announcement
 * interval.
 */
const MAX_ANNOUNCEMENT_DELAY_MS = 1_200;

/** Number of crashes counted against a request before its last canary run. */
const CRASHES_BEFORE_LAST_CANARY = domain.quarantine.quarantine.QUARANTINE_CRASHES - 1;

export interface Dependencies {
  quarantine: domain.quarantine.quarantine.Quarantine;
  registry: Pick<domain.registry.registry.Registry, 'spokeAt' | 'ready'>;
  /** Whether the allocator chooses targets of a service; it keeps suspects apart by itself. */
  isAllocated: (service: string) => boolean;
  observer: observer.Observer;
  now: () => number;
  /** Publishes reports to all followers. */
  publish: (reports: SuspectReport[]) => void;
}

export class SuspectTracker {
  private readonly canaries = new domain.quarantine.canaryRuns.CanaryRuns();

  constructor(private readonly dependencies: Dependencies) {}

  /** Forgets the canary runs when a leadership begins or ends; runs allowed by another leader aren't known here. */
  reset(): void {
    this.canaries.clear();
  }

  tick(): void {
    const { quarantine, now } = this.dependencies;
    if (quarantine.size > 0) this.publishChanges(quarantine.tick(now()));
  }

  /** Merges reports of suspects that a follower knows and this leader may not. */
  merge(reports: readonly SuspectReport[]): void {
    this.publishChanges(this.dependencies.quarantine.merge(reports, this.dependencies.now()));
  }

  /** Applies crash reports; returns the current report of each named request, also where nothing changed. */
  blame({ ended }: messages.CrashReport): SuspectReport[] {
    const { quarantine, now } = this.dependencies;
    const changes = ended
      .filter((each) => !this.hasAnnouncedSince(each))
      .map(({ content, lifetime, isTrial, sentAgoMs }) => {
        const key = domain.quarantine.crashedLifetimes.lifetimeKey(lifetime);
        const run = { sentAt: now() - sentAgoMs, isTrial };
        return quarantine.reportCrash(content, key, run, now());
      });
    this.publishChanges(changes.filter((change) => change !== undefined));
    return this.reportsOf({ ended });
  }

  /** The current report of each request that crash reports name. */
  reportsOf({ ended }: messages.CrashReport): SuspectReport[] {
    const { quarantine, now } = this.dependencies;
    return ended.map(({ content }) => quarantine.report(content, now()));
  }

  /** Applies a target's announcement, which may clear suspicions. */
  handleAnnouncement({ id, bornAt, sequence, state }: domain.registry.registry.Announcement): void {
    const { quarantine } = this.dependencies;
    if (state === 'gone') return;
    this.publishChanges(quarantine.applyAnnouncement({ id, bornAt }, sequence));
  }

  /** Decides whether a suspect request may run now, as the only canary run with its suspect fingerprints. */
  permit(request: messages.PermitRequest): messages.PermitAnswer {
    const { quarantine, now } = this.dependencies;
    const { content, fingerprints = [content], id, entry } = request;
    const assessment = quarantine.assess(fingerprints);
    if (assessment.kind === 'quarantined') return assessment;
    if (assessment.kind === 'free') return { kind: 'granted', endings: 0, target: undefined };
    const { suspects } = assessment;
    if (!suspects.every((each) => this.canaries.mayBegin(each, { id, entry }, now())))
      return { kind: 'busy' };
    const endings = Math.max(...suspects.map((each) => quarantine.crashCount(each)));
    const choice = this.chooseTarget(request);
    // The crash that would be the last one counted must not be caused by another suspect on the same target.
    if (choice === 'none' && endings >= CRASHES_BEFORE_LAST_CANARY) return { kind: 'busy' };
    const target = choice === 'any' || choice === 'none' ? undefined : choice.id;
    suspects.forEach((each) => this.canaries.begin(each, { id, entry, target }, now()));
    return { kind: 'granted', endings, target };
  }

  /** Ends a canary run; one with a complete answer, or whose answer has begun for a part, clears the suspicion. */
  trialEnded({ content, id, ranWhole, sentAgoMs }: messages.CanaryEnded): void {
    this.canaries.end(content, id);
    if (!ranWhole) return;
    const { quarantine, now } = this.dependencies;
    const change =
      sentAgoMs === undefined
        ? quarantine.completed(content)
        : quarantine.began(content, now() - sentAgoMs);
    if (change !== undefined) this.publishChanges([change]);
  }

  forgetEntry(entry: string): void {
    this.canaries.forgetEntry(entry);
  }

  /** Chooses a target of a plain service that runs no other suspect; the allocator chooses engines itself. */
  private chooseTarget({
    service,
    excluded,
  }: messages.PermitRequest): 'any' | 'none' | domain.registry.registry.Announcement {
    const { quarantine, registry, isAllocated } = this.dependencies;
    if (isAllocated(service)) return 'any';
    const unavailable = new Set([...this.canaries.targets, ...excluded]);
    const free = registry.ready(service).filter(({ id }) => !unavailable.has(id));
    return free.find((record) => !quarantine.hasCrashed(record)) ?? free.at(0) ?? 'none';
  }

  /**
   * Whether a target announced itself after its reported crash. An entry that was cut off takes all targets for
   * crashed and reports so once it is back; for a request that many callers send, that would mean a quarantine at
   * every entry until the targets have announced themselves twice more.
   */
  private hasAnnouncedSince({ lifetime, agoMs }: messages.TargetCrash): boolean {
    const { registry, now } = this.dependencies;
    const endedAt = now() - agoMs;
    return registry.spokeAt(lifetime) > endedAt + MAX_ANNOUNCEMENT_DELAY_MS;
  }

  private publishChanges(changes: readonly StatusChange[]): void {
    if (changes.length === 0) return;
    const { quarantine, observer: observe, now } = this.dependencies;
    changes.forEach(({ content, standing, endings, reason }) => {
      if (standing === 'quarantined') {
        observe.count('quarantine.begun');
        const lifetimes = quarantine.crashesOf(content);
        observe.log('requestQuarantined', { content, endings, lifetimes });
      } else if (reason === undefined) observe.log('requestSuspected', { content, endings });
      else observe.log('suspicionEnded', { content, endings, reason });
    });
    const fingerprints = new Set(changes.map(({ content }) => content));
    this.dependencies.publish(
      [...fingerprints].map((content) => quarantine.report(content, now())),
    );
  }
}
