/**
 * Requests under which targets end. A request that crashes whatever runs it comes again under new ids, and each attempt would
 * cost further targets; so every end of a target counts against the contents that it ran. Most of these ran beside the
 * culprit, so a count is a suspicion: suspects run one at a time and apart from each other, and only the culprit's count
 * goes on rising. After the third end the content is in quarantine and runs nowhere.
 *
 * A suspicion ends when a blamed target turns out to live, when the content runs to its end, when a content in quarantine
 * explains what it was blamed for, and with time. A quarantine ends as well; after it one run decides.
 */

import * as endedLifetimes from './endedLifetimes';
import * as suspects from './suspect';

type Suspect = suspects.Suspect;

export type Standing = 'free' | 'suspected' | 'quarantined';

/** Why a suspicion ended. */
export type ClearanceReason = 'targetLives' | 'ranWhole' | 'explained' | 'doubtful' | 'expired';

/**
 * Ends that put a content into quarantine. One is chance, and two may be for a request beside the culprit; a third run happens
 * apart from other suspects. With two, the crash of a whole data centre beside any other crash would refuse innocent requests.
 */
export const MOST_ENDINGS = 3;

/** A suspect that hasn't been blamed for so long is forgotten, milliseconds; callers give up sooner. */
const SUSPECT_EXPIRY_MS = 600_000;

/**
 * How long a quarantine must last before it explains ends for others, milliseconds. Blame for one end arrives from several
 * entries; the culprit's may come last, and must not be explained by what ran beside it.
 */
const EXPLANATION_DELAY_MS = 500;

/**
 * Most suspects that are kept; some 400 bytes each, and 60 for an entry that starts and takes all. A crash leaves a suspect for
 * each request that the target had, ten or so, so this covers a hundred crashes within `SUSPECT_MS`. Beyond that those
 * blamed for least go first.
 */
export const MOST_SUSPECTS = 1_000;

/**
 * A quarantine is in doubt where at most one of its ends isn't one of another content too that may be the culprit: when
 * several culprits end most targets at one moment, what many callers send was beside them each time, its trials included. After so long,
 * milliseconds, twice as long each further time, one more trial decides. An innocent content is refused for two seconds in
 * place of two minutes; a culprit costs up to two targets more, as these ends are its own.
 */
const DOUBT_DELAY_MS = 2_000;

/**
 * A content isn't let out for doubt any more when so many targets ended under it later than so long after its third, milliseconds.
 * Contents that explain each other would otherwise cost a target with each doubt, for as long as they come.
 */
const MAX_LATE_CRASHES = 3;
const LATE_CRASH_MS = 3_000;

/** Endings that are left after a quarantine: the next one is the third again. */
const CRASHES_KEPT_ON_RELEASE = MOST_ENDINGS - 1;

/** What a change did, for the log. */
export interface Change {
  content: string;
  standing: Standing;
  endings: number;
  /** Why nothing, or less, is left of it; undefined where blame was added. */
  reason: ClearanceReason | undefined;
}

/** A sending that got no answer. */
export interface UnansweredRun {
  /** By the clock of whoever owns the quarantine. */
  sentAt: number;
  /** Whether it was a trial; see `suspect`. */
  isTrial: boolean;
}

export class Quarantine {
  private readonly lifetimes = new endedLifetimes.CrashedLifetimes();

  private readonly suspects = new Map<string, Suspect>();

  /** Contents by the length of their bodies, so that others needn't be worked out. */
  private readonly lengths = new Map<string, number>();

  get size(): number {
    return this.suspects.size;
  }

  get quarantined(): number {
    return [...this.suspects.values()].filter(suspects.isQuarantined).length;
  }

  /** Whether some suspect's body has this length, bytes; to be asked before a content is worked out. */
  mayKnow(bodyBytes: number): boolean {
    return this.lengths.has(String(bodyBytes));
  }

  standing(fingerprint: string): Standing {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined) return 'free';
    return suspects.isQuarantined(suspect) ? 'quarantined' : 'suspected';
  }

  /** Ends that count against a content. */
  count(fingerprint: string): number {
    const suspect = this.suspects.get(fingerprint);
    return suspect === undefined ? 0 : suspects.countOf(suspect);
  }

  /** Lifetimes that ended under a content. */
  endings(fingerprint: string): string[] {
    return this.suspects.get(fingerprint)?.endings.map(({ lifetime }) => lifetime) ?? [];
  }

  /** A lifetime ended while it ran the content; undefined where that was known, or it had ended before. */
  blame(
    fingerprint: string,
    lifetime: string,
    { sentAt, isTrial }: UnansweredRun,
    now: number,
  ): Change | undefined {
    if ((this.lifetimes.reportedAt(lifetime) ?? Infinity) < sentAt) return undefined;
    if (this.lifetimes.isCleared(fingerprint, lifetime)) return undefined;
    this.lifetimes.record(lifetime, now);
    const known = this.suspects.get(fingerprint) ?? this.add(fingerprint, now);
    if (known.endings.some((each) => each.lifetime === lifetime)) return undefined;
    known.endings.push({ lifetime, at: now, isTrial });
    countCrash(known, now);
    this.lifetimes.addSuspect(fingerprint, lifetime);
    if (suspects.countOf(known) >= MOST_ENDINGS && !suspects.isQuarantined(known)) {
      known.quarantinedAt = now;
      known.quarantines += 1;
    }
    return this.statusChange(known, undefined);
  }

  /** A lifetime announced itself; whoever was blamed for its end is acquitted of that once it surely lives. */
  spoke(lifetime: endedLifetimes.Lifetime, sequence: number): Change[] {
    const key = endedLifetimes.lifetimeOf(lifetime);
    if (!this.lifetimes.confirmAlive(key, sequence)) return [];
    return this.lifetimes
      .suspectsOf(key)
      .map((content) => this.clearCrash(content, key, 'targetLives'));
  }

  /** Whether a lifetime is taken for ended. */
  hasEnded(lifetime: endedLifetimes.Lifetime): boolean {
    return this.lifetimes.has(endedLifetimes.lifetimeOf(lifetime));
  }

  /** The content ran to its end: whatever ended beside it, it wasn't the cause. */
  ranWhole(fingerprint: string): Change | undefined {
    const known = this.suspects.get(fingerprint);
    return known === undefined ? undefined : this.clearSuspicion(known, 'ranWhole');
  }

  /** Lets time pass: ends quarantines and old suspicions, and explains what ran beside a culprit. */
  tick(now: number): Change[] {
    const all = [...this.suspects.values()];
    // Chosen before any is let out: each may be what puts another one in doubt.
    const due = all.flatMap((each) => {
      const reason = this.dueReason(each, now);
      return reason === undefined ? [] : [{ suspect: each, reason }];
    });
    const released = due.map(({ suspect, reason }) => this.release(suspect, reason, now));
    const old = all
      .filter(
        (each) =>
          !suspects.isQuarantined(each) && now - suspects.lastCrashAt(each) > SUSPECT_EXPIRY_MS,
      )
      .map((each) => this.clearSuspicion(each, 'expired'));
    return [...released, ...old, ...this.explain(now)];
  }

  reports(now: number): suspects.Report[] {
    return [...this.suspects.values()].map((each) => suspects.toReport(each, now));
  }

  /** A content as it is known here; without endings where it isn't. */
  report(fingerprint: string, now: number): suspects.Report {
    const known = this.suspects.get(fingerprint);
    return known === undefined ? suspects.emptyReport(fingerprint) : suspects.toReport(known, now);
  }

  /** Takes a leader's word, which replaces what was known of the content. */
  take(report: suspects.Report, now: number): void {
    const known = this.suspects.get(report.content);
    if (known !== undefined) this.remove(known);
    if (report.endings.length > 0) this.restore(report, now);
  }

  /** Takes a leader's whole copy. */
  takeAll(reports: readonly suspects.Report[], now: number): void {
    [...this.suspects.values()].forEach((each) => this.remove(each));
    reports.forEach((report) => this.restore(report, now));
  }

  /** Adds what another copy knows, for a new leader; the contents that changed. */
  merge(reports: readonly suspects.Report[], now: number): Change[] {
    return reports.flatMap((received) => {
      const report = this.withoutCleared(received);
      const known = this.suspects.get(report.content);
      if (known === undefined) {
        return report.endings.length === 0
          ? []
          : [this.statusChange(this.restore(report, now), undefined)];
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

  /** A follower may not have heard yet of what the content was acquitted of. */
  private withoutCleared(report: suspects.Report): suspects.Report {
    const { content } = report;
    const endings = report.endings.filter(({ lifetime }) => {
      return !this.lifetimes.isCleared(content, lifetime);
    });
    if (endings.length === report.endings.length) return report;
    const quarantinedForMs = endings.length < MOST_ENDINGS ? undefined : report.quarantinedForMs;
    return { ...report, endings, quarantinedForMs };
  }

  private add(fingerprint: string, now: number): Suspect {
    return this.restore(suspects.emptyReport(fingerprint), now);
  }

  private restore(report: suspects.Report, now: number): Suspect {
    if (this.suspects.size >= MOST_SUSPECTS) this.evict(now);
    const made = suspects.fromReport(report, now);
    if (made.totalEndings >= MOST_ENDINGS) made.thirdEndAt = suspects.lastCrashAt(made);
    this.suspects.set(made.content, made);
    made.endings.forEach(({ lifetime, at }) => {
      this.lifetimes.addSuspect(made.content, lifetime);
      this.lifetimes.record(lifetime, at);
    });
    const length = bodyLengthOf(made.content);
    this.lengths.set(length, (this.lengths.get(length) ?? 0) + 1);
    return made;
  }

  private remove(suspect: Suspect): void {
    const { content, endings } = suspect;
    this.suspects.delete(content);
    endings.forEach(({ lifetime }) => this.lifetimes.removeSuspect(content, lifetime));
    const length = bodyLengthOf(content);
    const left = (this.lengths.get(length) ?? 1) - 1;
    if (left > 0) this.lengths.set(length, left);
    else this.lengths.delete(length);
  }

  private clearSuspicion(suspect: Suspect, reason: ClearanceReason): Change {
    const { content, endings } = suspect;
    this.remove(suspect);
    endings.forEach(({ lifetime }) => this.lifetimes.recordCleared(content, lifetime));
    return { content, standing: 'free', endings: 0, reason };
  }

  /** A lifetime no longer counts against a content. */
  private clearCrash(fingerprint: string, lifetime: string, reason: ClearanceReason): Change {
    const suspect = this.suspects.get(fingerprint) as Suspect;
    suspect.endings = suspect.endings.filter((each) => each.lifetime !== lifetime);
    this.lifetimes.removeSuspect(fingerprint, lifetime);
    this.lifetimes.recordCleared(fingerprint, lifetime);
    if (suspect.endings.length === 0) return this.clearSuspicion(suspect, reason);
    if (suspects.countOf(suspect) < MOST_ENDINGS) suspect.quarantinedAt = undefined;
    return this.statusChange(suspect, reason);
  }

  /** Why a quarantine ends now; undefined where it doesn't. */
  private dueReason(suspect: Suspect, now: number): 'expired' | 'doubtful' | undefined {
    const { quarantinedAt, doubts } = suspect;
    if (quarantinedAt === undefined) return undefined;
    const lastedMs = now - quarantinedAt;
    if (lastedMs >= suspects.quarantineDurationMs(suspect)) return 'expired';
    if (suspect.laterEndings >= MAX_LATE_CRASHES) return undefined;
    if (lastedMs < DOUBT_DELAY_MS * 2 ** doubts) return undefined;
    return this.isDoubtful(suspect) ? 'doubtful' : undefined;
  }

  private release(suspect: Suspect, reason: 'expired' | 'doubtful', now: number): Change {
    if (reason === 'doubtful') {
      suspect.doubts += 1;
      // It may never have been a culprit, so it makes no later quarantine longer.
      suspect.quarantines -= 1;
    }
    const kept = suspect.endings.slice(-CRASHES_KEPT_ON_RELEASE);
    suspect.endings.slice(0, -CRASHES_KEPT_ON_RELEASE).forEach(({ lifetime }) => {
      this.lifetimes.removeSuspect(suspect.content, lifetime);
      this.lifetimes.recordCleared(suspect.content, lifetime);
      if (reason === 'doubtful') this.noteExplained(lifetime);
    });
    suspect.endings = kept.map(({ lifetime }) => ({ lifetime, at: now, isTrial: true }));
    suspect.quarantinedAt = undefined;
    suspect.explained.clear();
    return this.statusChange(suspect, reason);
  }

  /**
   * A content that is let out for doubt may still be the culprit. Without a note, what ended under it would look like the others'
   * own doing as soon as it no longer counts, and who was beside it each time would stay refused for the whole quarantine.
   */
  private noteExplained(lifetime: string): void {
    this.lifetimes.suspectsOf(lifetime).forEach((content) => {
      this.suspects.get(content)?.explained.add(lifetime);
    });
  }

  private isDoubtful(suspect: Suspect): boolean {
    const own = suspect.endings.filter(({ lifetime }) => {
      if (suspect.explained.has(lifetime) || suspect.shared.has(lifetime)) return false;
      const others = this.lifetimes
        .suspectsOf(lifetime)
        .filter((other) => other !== suspect.content);
      return !others.some((other) => this.mayBeCulprit(other));
    });
    return suspects.countOf({ endings: own }) < CRASHES_KEPT_ON_RELEASE;
  }

  /** Also one that doubt let out, as its trial is to come, and one that ended two targets, at one moment or not: it may come no more. */
  private mayBeCulprit(fingerprint: string): boolean {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined) return false;
    if (suspects.isQuarantined(suspect) || suspect.doubts > 0) return true;
    return suspect.endings.length >= MOST_ENDINGS - 1;
  }

  /**
   * What ended under a content in quarantine no longer counts against those that ran beside it once. Whoever was blamed in a trial
   * as well may be a culprit of its own.
   */
  private explain(now: number): Change[] {
    const culprits = [...this.suspects.values()].filter(({ quarantinedAt = Infinity }) => {
      return now - quarantinedAt >= EXPLANATION_DELAY_MS;
    });
    return culprits.flatMap((culprit) => this.explainCrashesOf(culprit));
  }

  private explainCrashesOf(culprit: Suspect): Change[] {
    const lifetimes = culprit.endings.map(({ lifetime }) => lifetime);
    // What is acquitted now may be the culprit, and the one in quarantine was beside it.
    lifetimes
      .filter((lifetime) =>
        this.singleCrashSuspects(lifetime).some((each) => this.mayBeCulprit(each)),
      )
      .forEach((lifetime) => culprit.shared.add(lifetime));
    return lifetimes.flatMap((lifetime) => {
      return this.singleCrashSuspects(lifetime).map((each) =>
        this.clearCrash(each, lifetime, 'explained'),
      );
    });
  }

  /** Contents that an end counts against, and no other one. */
  private singleCrashSuspects(lifetime: string): string[] {
    return this.lifetimes.suspectsOf(lifetime).filter((content) => this.count(content) === 1);
  }

  /** Makes room: whoever is blamed for least goes first, and of those the one that was blamed longest ago. */
  private evict(now: number): void {
    const weight = (each: Suspect): number => {
      return (
        suspects.countOf(each) * SUSPECT_EXPIRY_MS -
        Math.min(SUSPECT_EXPIRY_MS, now - suspects.lastCrashAt(each))
      );
    };
    const all = [...this.suspects.values()];
    this.remove(all.reduce((least, each) => (weight(each) < weight(least) ? each : least)));
  }

  private statusChange(suspect: Suspect, reason: ClearanceReason | undefined): Change {
    const { content } = suspect;
    return {
      content,
      standing: this.standing(content),
      endings: suspects.countOf(suspect),
      reason,
    };
  }
}

/** Counts an end also when it counts no longer against the content. */
function countCrash(suspect: Suspect, now: number): void {
  suspect.totalEndings += 1;
  if (suspect.totalEndings === MOST_ENDINGS) suspect.thirdEndAt = now;
  if (now > suspect.thirdEndAt + LATE_CRASH_MS) suspect.laterEndings += 1;
}

/** Contents begin with the length of the body. */
function bodyLengthOf(fingerprint: string): string {
  return fingerprint.slice(0, fingerprint.indexOf('-'));
}
