/**
 * Requests under which targets end. A request that crashes whatever runs it comes again under new ids, and each attempt would
 * cost further targets; so every end of a target counts against the contents that it ran. Most of these ran beside the
 * culprit, so a count is a suspicion: suspects run one at a time and apart from each other, and only the culprit's count
 * goes on rising. After the third end the content is in quarantine and runs nowhere.
 *
 * A suspicion ends when a blamed target turns out to live, when the content runs to its end, when a content in quarantine
 * explains what it was blamed for, and with time. A quarantine ends as well; after it one run decides.
 */

/** One life of a target, as it announces itself. */
export interface Lifetime {
  id: string;
  bornAt: number;
}

/** A lifetime that ended while it ran a content; `at` is the owner's clock, milliseconds. */
interface Ending {
  lifetime: string;
  at: number;
  /** Whether that run was a trial: begun as the only one with a content that was suspected already. */
  isTrial: boolean;
}

interface Suspect {
  content: string;
  endings: Ending[];
  /** Quarantines that it has been through, the present one included. */
  quarantines: number;
  /** Since when it is in quarantine; undefined while it isn't. */
  quarantinedAt: number | undefined;
  /** Whether a doubtful quarantine of it was ended once. */
  wasDoubted: boolean;
}

/** A suspect as it travels; clocks of different VMs don't compare, so times are ages. No endings: nothing is left of it. */
export interface Report {
  content: string;
  endings: { lifetime: string; agoMs: number; isTrial: boolean }[];
  quarantines: number;
  quarantinedForMs: number | undefined;
}

export type Standing = 'free' | 'suspected' | 'quarantined';

/** Why a suspicion ended. */
export type Reason = 'targetLives' | 'ranWhole' | 'explained' | 'doubtful' | 'expired';

/**
 * Ends that put a content into quarantine. One is chance, and two may be for a request beside the culprit; a third run happens
 * apart from other suspects. With two, the crash of a whole data centre beside any other crash would refuse innocent requests.
 * Runs that were under way when the first one ended its target count as one end together: what many callers send at the same
 * time is on many targets at once, and one culprit that crashes some of them would have it refused with itself.
 */
export const MOST_ENDINGS = 3;

/** A suspect that hasn't been blamed for so long is forgotten, milliseconds; callers give up sooner. */
const SUSPECT_MS = 600_000;

/**
 * How long the first quarantine lasts, milliseconds, and how many times as long each further one; the longest is a day. A
 * wrong one ends with its first run after two minutes; one that is right costs a target after 2, 22 and 222 minutes, and then
 * one a day.
 */
const FIRST_QUARANTINE_MS = 120_000;
const QUARANTINE_GROWTH = 10;
const LONGEST_QUARANTINE_MS = 86_400_000;

/**
 * How long a quarantine must last before it explains ends for others, milliseconds. Blame for one end arrives from several
 * entries; the culprit's may come last, and must not be explained by what ran beside it.
 */
const EXPLAINS_AFTER_MS = 500;

/**
 * Most suspects that are kept; some 400 bytes each, and 60 for an entry that starts and takes all. A crash leaves a suspect for
 * each request that the target had, ten or so, so this covers a hundred crashes within `SUSPECT_MS`. Beyond that those
 * blamed for least go first.
 */
export const MOST_SUSPECTS = 1_000;

/** Most lifetimes whose end is remembered; a crashed one is announced as ready for some seconds at most. */
const MOST_ENDED = 500;

/**
 * A quarantine is in doubt where each of its ends is one of another content in quarantine too: when several culprits end most
 * targets at one moment, what many callers send was beside them each time, its trials included. After so long, milliseconds,
 * one more trial decides. An innocent content is refused for two seconds in place of two minutes; a culprit costs a target
 * more, once, and that end is its own.
 */
const DOUBT_AFTER_MS = 2_000;

/** Endings that are left after a quarantine: the next one is the third again. */
const LEFT_AFTER_QUARANTINE = MOST_ENDINGS - 1;

export function lifetimeOf({ id, bornAt }: Lifetime): string {
  return `${id}/${bornAt}`;
}

/** What a change did, for the log. */
export interface Change {
  content: string;
  standing: Standing;
  endings: number;
  /** Why nothing, or less, is left of it; undefined where blame was added. */
  reason: Reason | undefined;
}

/** What is known of a lifetime that was told to have ended. */
interface Ended {
  at: number;
  /** The first sequence that it announced after that was told last. */
  heard: number | undefined;
}

/** A sending that got no answer. */
export interface Run {
  /** By the clock of whoever owns the quarantine. */
  sentAt: number;
  /** Whether it was a trial; see `Ending`. */
  isTrial: boolean;
}

export class Quarantine {
  /**
   * When lifetimes were first told to have ended, the latest last. A target that crashed is still announced as ready for some
   * seconds, and a request that meets its broken connections then hasn't ended it.
   */
  private readonly ended = new Map<string, Ended>();

  private readonly suspects = new Map<string, Suspect>();

  /** Contents that the end of a lifetime counts against. */
  private readonly blamed = new Map<string, Set<string>>();

  /** Contents by the length of their bodies, so that others needn't be worked out. */
  private readonly lengths = new Map<string, number>();

  get size(): number {
    return this.suspects.size;
  }

  get quarantined(): number {
    return [...this.suspects.values()].filter(isQuarantined).length;
  }

  /** Whether some suspect's body has this length, bytes; to be asked before a content is worked out. */
  mayKnow(bodyBytes: number): boolean {
    return this.lengths.has(String(bodyBytes));
  }

  standing(content: string): Standing {
    const suspect = this.suspects.get(content);
    if (suspect === undefined) return 'free';
    return isQuarantined(suspect) ? 'quarantined' : 'suspected';
  }

  /** Ends that count against a content. */
  count(content: string): number {
    const suspect = this.suspects.get(content);
    return suspect === undefined ? 0 : countOf(suspect);
  }

  /** Lifetimes that ended under a content. */
  endings(content: string): string[] {
    return this.suspects.get(content)?.endings.map(({ lifetime }) => lifetime) ?? [];
  }

  /** A lifetime ended while it ran the content; undefined where that was known, or it had ended before. */
  blame(
    content: string,
    lifetime: string,
    { sentAt, isTrial }: Run,
    now: number,
  ): Change | undefined {
    const ended = this.ended.get(lifetime);
    if (ended !== undefined && ended.at < sentAt) return undefined;
    this.noteEnd(lifetime, now);
    const known = this.suspects.get(content) ?? this.add(content, now);
    if (known.endings.some((each) => each.lifetime === lifetime)) return undefined;
    known.endings.push({ lifetime, at: now, isTrial });
    this.index(content, lifetime);
    if (countOf(known) >= MOST_ENDINGS && !isQuarantined(known)) {
      known.quarantinedAt = now;
      known.quarantines += 1;
    }
    return this.changeOf(known, undefined);
  }

  /**
   * A lifetime announced itself. One announcement may have been held up since before its death; with a second one, of a
   * higher sequence, it lives, and whoever couldn't reach it was cut off.
   */
  spoke(lifetime: Lifetime, sequence: number): Change[] {
    const key = lifetimeOf(lifetime);
    const ended = this.ended.get(key);
    if (ended === undefined) return [];
    ended.heard ??= sequence;
    if (sequence <= ended.heard) return [];
    this.ended.delete(key);
    const contents = [...(this.blamed.get(key) ?? [])];
    return contents.map((content) => this.acquit(content, key, 'targetLives'));
  }

  /** Whether a lifetime is taken for ended. */
  hasEnded(lifetime: Lifetime): boolean {
    return this.ended.has(lifetimeOf(lifetime));
  }

  /** The content ran to its end: whatever ended beside it, it wasn't the cause. */
  ranWhole(content: string): Change | undefined {
    const known = this.suspects.get(content);
    return known === undefined ? undefined : this.drop(known, 'ranWhole');
  }

  /** Lets time pass: ends quarantines and old suspicions, and explains what ran beside a culprit. */
  tick(now: number): Change[] {
    const suspects = [...this.suspects.values()];
    const released = suspects.filter(isQuarantined).flatMap((each) => this.release(each, now));
    const old = suspects
      .filter((each) => !isQuarantined(each) && now - lastOf(each) > SUSPECT_MS)
      .map((each) => this.drop(each, 'expired'));
    return [...released, ...old, ...this.explain(now)];
  }

  reports(now: number): Report[] {
    return [...this.suspects.values()].map((each) => reportOf(each, now));
  }

  /** A content as it is known here; without endings where it isn't. */
  report(content: string, now: number): Report {
    const known = this.suspects.get(content);
    if (known !== undefined) return reportOf(known, now);
    return { content, endings: [], quarantines: 0, quarantinedForMs: undefined };
  }

  /** Takes a leader's word, which replaces what was known of the content. */
  take(report: Report, now: number): void {
    const known = this.suspects.get(report.content);
    if (known !== undefined) this.remove(known);
    if (report.endings.length > 0) this.restore(report, now);
  }

  /** Takes a leader's whole copy. */
  takeAll(reports: readonly Report[], now: number): void {
    [...this.suspects.values()].forEach((each) => this.remove(each));
    reports.forEach((report) => this.restore(report, now));
  }

  /** Adds what another copy knows, for a new leader; the contents that changed. */
  merge(reports: readonly Report[], now: number): Change[] {
    return reports.flatMap((report) => {
      const known = this.suspects.get(report.content);
      if (known === undefined) {
        return report.endings.length === 0
          ? []
          : [this.changeOf(this.restore(report, now), undefined)];
      }
      known.quarantines = Math.max(known.quarantines, report.quarantines);
      return (
        report.endings
          // Whoever told it has judged whether the request was sent before the end.
          .map(({ lifetime, isTrial }) => {
            return this.blame(report.content, lifetime, { sentAt: -Infinity, isTrial }, now);
          })
          .filter((change) => change !== undefined)
      );
    });
  }

  private add(content: string, now: number): Suspect {
    if (this.suspects.size >= MOST_SUSPECTS) this.evict(now);
    const made: Suspect = {
      content,
      endings: [],
      quarantines: 0,
      quarantinedAt: undefined,
      wasDoubted: false,
    };
    this.suspects.set(content, made);
    const length = lengthOf(content);
    this.lengths.set(length, (this.lengths.get(length) ?? 0) + 1);
    return made;
  }

  private restore(
    { content, endings, quarantines, quarantinedForMs }: Report,
    now: number,
  ): Suspect {
    const made = this.add(content, now);
    made.endings = endings.map(({ agoMs, ...each }) => ({ ...each, at: now - agoMs }));
    made.quarantines = quarantines;
    made.quarantinedAt = quarantinedForMs === undefined ? undefined : now - quarantinedForMs;
    endings.forEach(({ lifetime, agoMs }) => {
      this.index(content, lifetime);
      this.noteEnd(lifetime, now - agoMs);
    });
    return made;
  }

  private index(content: string, lifetime: string): void {
    const contents = this.blamed.get(lifetime) ?? new Set();
    this.blamed.set(lifetime, contents.add(content));
  }

  private noteEnd(lifetime: string, at: number): void {
    const known = this.ended.get(lifetime);
    // Whoever tells it again may have looked after the last announcement.
    this.ended.set(lifetime, { at: known?.at ?? at, heard: undefined });
    if (this.ended.size <= MOST_ENDED) return;
    const [oldest] = this.ended.keys();
    this.ended.delete(oldest);
  }

  private unindex(content: string, lifetime: string): void {
    const known = this.blamed.get(lifetime);
    known?.delete(content);
    if (known?.size === 0) this.blamed.delete(lifetime);
  }

  private remove(suspect: Suspect): void {
    const { content, endings } = suspect;
    this.suspects.delete(content);
    endings.forEach(({ lifetime }) => this.unindex(content, lifetime));
    const length = lengthOf(content);
    const left = (this.lengths.get(length) ?? 1) - 1;
    if (left > 0) this.lengths.set(length, left);
    else this.lengths.delete(length);
  }

  private drop(suspect: Suspect, reason: Reason): Change {
    this.remove(suspect);
    return { content: suspect.content, standing: 'free', endings: 0, reason };
  }

  /** A lifetime no longer counts against a content. */
  private acquit(content: string, lifetime: string, reason: Reason): Change {
    const suspect = this.suspects.get(content) as Suspect;
    suspect.endings = suspect.endings.filter((each) => each.lifetime !== lifetime);
    this.unindex(content, lifetime);
    if (suspect.endings.length === 0) return this.drop(suspect, reason);
    if (countOf(suspect) < MOST_ENDINGS) suspect.quarantinedAt = undefined;
    return this.changeOf(suspect, reason);
  }

  private release(suspect: Suspect, now: number): Change[] {
    const { quarantines, quarantinedAt = now } = suspect;
    const isOver = now - quarantinedAt >= quarantineMs(quarantines);
    const isDoubted = !isOver && now - quarantinedAt >= DOUBT_AFTER_MS && this.isDoubtful(suspect);
    if (!isOver && !isDoubted) return [];
    suspect.wasDoubted ||= isDoubted;
    const kept = suspect.endings.slice(-LEFT_AFTER_QUARANTINE);
    suspect.endings
      .slice(0, -LEFT_AFTER_QUARANTINE)
      .forEach(({ lifetime }) => this.unindex(suspect.content, lifetime));
    suspect.endings = kept.map(({ lifetime }) => ({ lifetime, at: now, isTrial: true }));
    suspect.quarantinedAt = undefined;
    return [this.changeOf(suspect, isDoubted ? 'doubtful' : 'expired')];
  }

  private isDoubtful({ content, endings, wasDoubted }: Suspect): boolean {
    if (wasDoubted) return false;
    return endings.every(({ lifetime }) => {
      const contents = [...(this.blamed.get(lifetime) ?? [])];
      return contents.some((other) => other !== content && this.standing(other) === 'quarantined');
    });
  }

  /**
   * What ended under a content in quarantine no longer counts against those that ran beside it once. Whoever was blamed in a trial
   * as well may be a culprit of its own.
   */
  private explain(now: number): Change[] {
    const culprits = [...this.suspects.values()].filter(({ quarantinedAt = Infinity }) => {
      return now - quarantinedAt >= EXPLAINS_AFTER_MS;
    });
    return culprits.flatMap((culprit) =>
      culprit.endings.flatMap(({ lifetime }) => {
        const contents = [...(this.blamed.get(lifetime) ?? [])];
        return contents
          .filter((content) => {
            const other = this.suspects.get(content) as Suspect;
            return countOf(other) === 1;
          })
          .map((content) => this.acquit(content, lifetime, 'explained'));
      }),
    );
  }

  /** Makes room: whoever is blamed for least goes first, and of those the one that was blamed longest ago. */
  private evict(now: number): void {
    const weight = (each: Suspect): number => {
      return countOf(each) * SUSPECT_MS - Math.min(SUSPECT_MS, now - lastOf(each));
    };
    const all = [...this.suspects.values()];
    this.remove(all.reduce((least, each) => (weight(each) < weight(least) ? each : least)));
  }

  private changeOf(suspect: Suspect, reason: Reason | undefined): Change {
    const { content } = suspect;
    return { content, standing: this.standing(content), endings: countOf(suspect), reason };
  }
}

function isQuarantined({ quarantinedAt }: Suspect): boolean {
  return quarantinedAt !== undefined;
}

/** Ends that count against a suspect. */
function countOf({ endings }: Pick<Suspect, 'endings'>): number {
  const inTrials = endings.filter(({ isTrial }) => isTrial).length;
  return inTrials < endings.length ? inTrials + 1 : inTrials;
}

function lastOf({ endings }: Suspect): number {
  return Math.max(...endings.map(({ at }) => at));
}

function reportOf({ content, endings, quarantines, quarantinedAt }: Suspect, now: number): Report {
  return {
    content,
    endings: endings.map(({ at, ...each }) => ({ ...each, agoMs: now - at })),
    quarantines,
    quarantinedForMs: quarantinedAt === undefined ? undefined : now - quarantinedAt,
  };
}

function quarantineMs(quarantines: number): number {
  const grown = FIRST_QUARANTINE_MS * QUARANTINE_GROWTH ** Math.max(0, quarantines - 1);
  return Math.min(LONGEST_QUARANTINE_MS, grown);
}

/** Contents begin with the length of the body. */
function lengthOf(content: string): string {
  return content.slice(0, content.indexOf('-'));
}
