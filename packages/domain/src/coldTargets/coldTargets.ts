/**
 * Decides which targets are cold, that is slow and fragile after a start, until when, and how many
 * requests per second each may get. The load that this handles is a rate far above what a cold
 * target survives, from hundreds of senders at once: a restarted data centre, or one whose
 * evacuation ends, while the other data centres are busy.
 *
 * A lifetime that isn't known to be warm is cold. It is known to be warm once its own announcement
 * says so; a statement may be seconds old, so only one that was sent after the lifetime became cold
 * counts. Times are those of one process, the leader; a new leader assumes that what its
 * predecessor limited has just started.
 */
import type * as rateLimits from '../rateLimits/rateLimits';
import type * as registry from '../registry/registry';
import * as coldShares from './coldShares';

/** What a service states about its cold targets. */
export interface ColdRule {
  /** How long a target is cold after its start, milliseconds. */
  coldStartMs: number;
  /** Requests per second that one cold target handles. */
  perSecond: number;
}

/**
 * How long the permitted rate rises after the cold period, milliseconds, and to which multiple of
 * the cold rate. A warm target handles more than the multiple, so nothing changes at the end.
 */
const RAMP_MS = 1_000;
const RAMP_FACTOR = 16;

/** Steps of the ramp; each is a change of the limit that the leader applies. */
const RAMP_STEPS = 8;

/**
 * Targets begin their ramps at different times within this range, milliseconds, as a data centre
 * that started at once would otherwise take over its load at once.
 */
const RAMP_SPREAD_MS = 500;

/**
 * How old a statement of a target may be when it arrives, milliseconds: two of the usual intervals
 * between announcements.
 */
const MAX_REPORT_AGE_MS = 2_400;

interface Lifetime {
  bornAt: number;
  /** Sequence of the last announcement. */
  sequence: number;
  /** When it became cold without saying how long; `-Infinity` where it is known to be warm. */
  since: number;
  /** Until when it is cold by its own statements. */
  reportedUntil: number;
  /** Statements that it is warm don't count before this time. */
  doubtedUntil: number;
}

type Announcement = registry.Announcement;

export class ColdTargets {
  /** Lifetimes by target id. */
  private readonly lifetimes = new Map<string, Lifetime>();

  /** `ruleOf` returns undefined for a service whose cold targets need no limit. */
  constructor(private readonly ruleOf: (service: string) => ColdRule | undefined) {}

  /**
   * Starts over with the targets that a new leader knows. Those that `isCold` names, and those that
   * are loaded from disk, may have just started.
   */
  begin(
    records: readonly Announcement[],
    isCold: (record: Announcement) => boolean,
    now: number,
  ): void {
    this.lifetimes.clear();
    records.forEach((record) => {
      const isUncertain = record.isRemembered === true || isCold(record);
      this.add(record, isUncertain ? now : -Infinity);
    });
  }

  /**
   * Takes a target's own announcement. The first one of a lifetime is believed that it is warm only
   * where nothing has been sent to targets yet.
   */
  observe(announcement: Announcement, now: number, hasTraffic = true): void {
    const { coldLeftMs, sequence } = announcement;
    const known = this.find(announcement);
    const lifetime = known ?? this.add(announcement, now);
    const isLater = known !== undefined && isLaterThan(known, sequence);
    lifetime.sequence = Math.max(lifetime.sequence, sequence);
    if (coldLeftMs === undefined || (known !== undefined && !isLater)) return;
    if (coldLeftMs > 0) lifetime.reportedUntil = now + coldLeftMs;
    else if ((isLater || !hasTraffic) && now >= lifetime.doubtedUntil) {
      this.endColdness(lifetime, announcement.service, hasTraffic ? now : -Infinity);
    }
  }

  /** Takes the time for which a target remains cold, as one of its answers states. */
  answered(record: Announcement, coldForMs: number, now: number): void {
    const lifetime = this.find(record) ?? this.add(record, now);
    lifetime.reportedUntil = Math.max(lifetime.reportedUntil, now + coldForMs);
    lifetime.doubtedUntil = now + MAX_REPORT_AGE_MS;
  }

  /** Treats targets as just started, as nobody used them or as another process took them for cold. */
  restart(records: readonly Announcement[], now: number): void {
    records.forEach((record) => {
      const lifetime = this.find(record) ?? this.add(record, now);
      lifetime.since = now;
      lifetime.doubtedUntil = now + MAX_REPORT_AGE_MS;
    });
  }

  /** The limits of the cold ones among the present targets; others are forgotten. */
  limits(records: readonly Announcement[], now: number): rateLimits.RateLimit[] {
    this.retain(records);
    return records.flatMap((record) => this.limitOf(record, now) ?? []);
  }

  /** Forgets all targets but these. */
  retain(records: readonly Announcement[]): void {
    const present = new Set(records.map(({ id }) => id));
    [...this.lifetimes.keys()]
      .filter((id) => !present.has(id))
      .forEach((id) => this.lifetimes.delete(id));
  }

  /** The limit of a target; undefined where it has none. */
  limitOf(record: Announcement, now: number): rateLimits.RateLimit | undefined {
    const { service, address } = record;
    const rule = this.ruleOf(service);
    if (rule === undefined) return undefined;
    const lifetime = this.find(record) ?? this.add(record, now);
    const endsAt = this.endOf(lifetime, service) + spreadMs(address);
    const step = Math.floor(((now - endsAt) / RAMP_MS) * RAMP_STEPS) + 1;
    if (step > RAMP_STEPS) return undefined;
    const perSecond = rule.perSecond * RAMP_FACTOR ** (Math.max(0, step) / RAMP_STEPS);
    return { service, address, perSecond, source: 'cold' };
  }

  /** When the cold period of a lifetime ends, without the spread. */
  private endOf({ since, reportedUntil }: Lifetime, service: string): number {
    return Math.max(since + (this.ruleOf(service)?.coldStartMs ?? 0), reportedUntil);
  }

  /** Ends the cold period at `at`, unless it ended before. */
  private endColdness(lifetime: Lifetime, service: string, at: number): void {
    lifetime.reportedUntil = Math.min(at, this.endOf(lifetime, service));
    lifetime.since = -Infinity;
  }

  private find({ id, bornAt }: Announcement): Lifetime | undefined {
    const lifetime = this.lifetimes.get(id);
    return lifetime?.bornAt === bornAt ? lifetime : undefined;
  }

  private add({ id, bornAt, sequence }: Announcement, since: number): Lifetime {
    const added = { bornAt, sequence, since, reportedUntil: -Infinity, doubtedUntil: -Infinity };
    this.lifetimes.set(id, added);
    return added;
  }
}

function spreadMs(address: string): number {
  return coldShares.hashOf(address) % RAMP_SPREAD_MS;
}

/**
 * Whether an announcement comes after the last known one. A target that numbers none has 0 in all of them; one that
 * counts from 0 has it only in its first.
 */
function isLaterThan({ sequence: last }: Lifetime, sequence: number): boolean {
  return sequence > last || (sequence === 0 && last === 0);
}
