/**
 * What a leader does about requests under which targets end: counts what entries tell, lets suspects run one at a time, and
 * tells all followers what became of each. Entries refuse what is in quarantine by themselves; the leader alone ends it.
 */
import * as domain from '@celerydrift/domain';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';

type Change = domain.quarantine.quarantine.Change;
type Report = domain.quarantine.suspect.Report;

/** An announcement from before an end may come this much after it, milliseconds: a usual pause between two. */
const HELD_UP_MS = 1_200;

/** Ends that count against a content before its last trial. */
const LAST_TRIAL = domain.quarantine.quarantine.MOST_ENDINGS - 1;

export interface Parts {
  quarantine: domain.quarantine.quarantine.Quarantine;
  registry: Pick<domain.registry.registry.Registry, 'spokeAt' | 'ready'>;
  /** Whether the allocator chooses targets of a service; it keeps suspects apart by itself. */
  isAllocated: (service: string) => boolean;
  observer: observer.Observer;
  now: () => number;
  /** Tells all followers. */
  publish: (reports: Report[]) => void;
}

export class Suspicions {
  private readonly trials = new domain.quarantine.trials.Trials();

  constructor(private readonly parts: Parts) {}

  /** Another leadership begins or ends; runs that another leader allowed aren't known. */
  turn(): void {
    this.trials.clear();
  }

  tick(): void {
    const { quarantine, now } = this.parts;
    if (quarantine.size > 0) this.changed(quarantine.tick(now()));
  }

  /** Takes what a follower knows that this leader may not. */
  merge(reports: readonly Report[]): void {
    this.changed(this.parts.quarantine.merge(reports, this.parts.now()));
  }

  /** The reports of all contents that were blamed come back, also where nothing changed. */
  blame({ ended }: messages.Blame): Report[] {
    const { quarantine, now } = this.parts;
    const changes = ended
      .filter((each) => !this.hasSpokenSince(each))
      .map(({ content, lifetime, isTrial, sentAgoMs }) => {
        const key = domain.quarantine.endedLifetimes.lifetimeOf(lifetime);
        const run = { sentAt: now() - sentAgoMs, isTrial };
        return quarantine.blame(content, key, run, now());
      });
    this.changed(changes.filter((change) => change !== undefined));
    return ended.map(({ content }) => quarantine.report(content, now()));
  }

  /** A target announced itself. */
  spoke({ id, bornAt, sequence, state }: domain.registry.registry.Announcement): void {
    const { quarantine } = this.parts;
    if (state === 'gone') return;
    this.changed(quarantine.spoke({ id, bornAt }, sequence));
  }

  permit(question: messages.PermitQuestion): messages.PermitAnswer {
    const { quarantine, now } = this.parts;
    const { content, id, entry } = question;
    const standing = quarantine.standing(content);
    if (standing === 'quarantined') return { kind: 'quarantined' };
    if (standing === 'free') return { kind: 'granted', endings: 0, target: undefined };
    if (!this.trials.mayBegin(content, { id, entry }, now())) return { kind: 'busy' };
    const endings = quarantine.count(content);
    const choice = this.choose(question);
    // The end that would count as the last must not be another suspect's.
    if (choice === 'none' && endings >= LAST_TRIAL) return { kind: 'busy' };
    const target = choice === 'any' || choice === 'none' ? undefined : choice.id;
    this.trials.begin(content, { id, entry, target }, now());
    return { kind: 'granted', endings, target };
  }

  trialEnded({ content, id, ranWhole }: messages.TrialEnded): void {
    this.trials.end(content, id);
    const change = ranWhole ? this.parts.quarantine.ranWhole(content) : undefined;
    if (change !== undefined) this.changed([change]);
  }

  forgetEntry(entry: string): void {
    this.trials.forgetEntry(entry);
  }

  /** A target of a plain service that runs no other suspect; engines are chosen by the allocator. */
  private choose({
    service,
    excluded,
  }: messages.PermitQuestion): 'any' | 'none' | domain.registry.registry.Announcement {
    const { quarantine, registry, isAllocated } = this.parts;
    if (isAllocated(service)) return 'any';
    const taken = new Set([...this.trials.targets, ...excluded]);
    const free = registry.ready(service).filter(({ id }) => !taken.has(id));
    return free.find((record) => !quarantine.hasEnded(record)) ?? free.at(0) ?? 'none';
  }

  /**
   * An entry that was cut off took all targets for ended, and tells so once it is back: for a content that many callers send, that
   * would be a quarantine at every entry until the targets have spoken twice more.
   */
  private hasSpokenSince({ lifetime, agoMs }: messages.EndedTarget): boolean {
    const { registry, now } = this.parts;
    const endedAt = now() - agoMs;
    return registry.spokeAt(lifetime) > endedAt + HELD_UP_MS;
  }

  private changed(changes: readonly Change[]): void {
    if (changes.length === 0) return;
    const { quarantine, observer: observe, now } = this.parts;
    changes.forEach(({ content, standing, endings, reason }) => {
      if (standing === 'quarantined') {
        observe.count('quarantine.begun');
        const lifetimes = quarantine.endings(content);
        observe.log('requestQuarantined', { content, endings, lifetimes });
      } else if (reason === undefined) observe.log('requestSuspected', { content, endings });
      else observe.log('suspicionEnded', { content, endings, reason });
    });
    const contents = new Set(changes.map(({ content }) => content));
    this.parts.publish([...contents].map((content) => quarantine.report(content, now())));
  }
}
