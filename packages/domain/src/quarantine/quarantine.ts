/**
 * Quarantine for requests that crash targets. Such a request is retried under new ids, and each
 * attempt would cost another target, so every crash counts against the fingerprints of all requests
 * that the target was running. Most of these only ran beside the culprit, so a count is no more
 * than a suspicion: suspects run one at a time and apart from each other, and then only the
 * culprit's count keeps rising. After the third crash a request is quarantined and runs nowhere.
 *
 * Requests without a common body may share the part of their prompts that crashes targets, so the
 * parts of a prompt have fingerprints too, and a crash counts against those of all requests that
 * had not begun to answer.
 *
 * A suspicion is cleared when the target turns out to be alive, when the request completes or a
 * request with the part begins to answer, when a quarantined request explains the crash, or after
 * some time. A quarantine expires too; one canary run then decides.
 */

import * as crashedLifetimes from './crashedLifetimes';
import * as partFingerprint from './partFingerprint';
import * as suspects from './suspect';

type Suspect = suspects.Suspect;

/** Quarantine status of a request. */
export type QuarantineStatus = 'free' | 'suspected' | 'quarantined';

/** Why a suspicion was cleared or reduced. */
export type ClearanceReason =
  'targetLives' | 'ranWhole' | 'began' | 'explained' | 'doubtful' | 'expired';

/** What its fingerprints mean for a request. */
export type Assessment =
  | { kind: 'free' }
  /** It may run as a canary of these fingerprints. */
  | { kind: 'suspected'; suspects: string[] }
  /** It must not run because of this fingerprint. */
  | { kind: 'quarantined'; culprit: string };

/**
 * Crashes that quarantine a request. One is chance, and two may be the fault of a request beside
 * it; the third run happens apart from other suspects. With two, the crash of a whole data centre
 * together with any other crash would refuse innocent requests.
 */
export const QUARANTINE_CRASHES = 3;

/**
 * A suspect without a new crash for this long is forgotten, milliseconds; callers give up sooner.
 */
const SUSPECT_EXPIRY_MS = 600_000;

/**
 * How long a quarantine must last before it explains crashes to others, milliseconds. Several
 * entries report one crash, and the report on the culprit may come last; until then the requests
 * beside it must not explain the crash to it.
 */
const EXPLANATION_DELAY_MS = 500;

/**
 * Suspects that are kept; each takes some 400 bytes, and 60 in the update for an entry that starts
 * and loads all of them. A crash makes a suspect of each of the ten or so requests that the target
 * was running, so this covers a hundred crashes within `SUSPECT_EXPIRY_MS`. Beyond that, those with
 * the fewest crashes are evicted first.
 */
export const MAX_SUSPECTS = 1_000;

/**
 * A quarantine is doubtful where all its crashes, except one at most, also count against other
 * requests that may be the culprit: when several culprits crash most targets at the same time, a
 * request that many callers send runs beside them each time, its canary runs included. After this
 * long, milliseconds, doubled for each further doubt, one more canary run decides. An innocent
 * request is refused for two seconds instead of two minutes; a culprit costs up to two more
 * targets, as those crashes are its own.
 */
const DOUBT_DELAY_MS = 2_000;

/**
 * The same for a part, and the factor for each further doubt: meanwhile requests that have the part
 * without what else explains its crashes run as canaries, but what has only some of its crashes
 * doesn't explain them, and several causes may.
 */
const PART_DOUBT_DELAY_MS = 10_000;
const PART_DOUBT_GROWTH = 10;

/**
 * A request is no longer released as doubtful once this many targets crashed under it later than
 * this long after its third crash, milliseconds. Requests that explain each other would otherwise
 * cost a target with each doubt for as long as they come.
 */
const MAX_LATE_CRASHES = 3;
const LATE_CRASH_MS = 3_000;

/** Crashes that still count after a quarantine: the next one is the third again. */
const CRASHES_KEPT_ON_RELEASE = QUARANTINE_CRASHES - 1;

/** Effect of a change on one request, for the log. */
export interface StatusChange {
  /** Fingerprint of the request. */
  content: string;
  /** Its status afterwards. */
  standing: QuarantineStatus;
  /** Crashes that count against it afterwards. */
  endings: number;
  /** Why the suspicion was cleared or reduced; undefined where a crash was added. */
  reason: ClearanceReason | undefined;
}

/** A dispatch of a request that got no answer. */
export interface UnansweredRun {
  /** By the clock of the process that holds the quarantine. */
  sentAt: number;
  /** Whether it was a canary run; see `suspect`. */
  isTrial: boolean;
}

export class Quarantine {
  private readonly lifetimes = new crashedLifetimes.CrashedLifetimes();

  private readonly suspects = new Map<string, Suspect>();

  /**
   * Number of suspects by the length of their bodies, so that fingerprints of other requests
   * needn't be computed.
   */
  private readonly lengths = new Map<string, number>();

  /** Number of suspects that are parts of prompts. */
  private partCount = 0;

  get size(): number {
    return this.suspects.size;
  }

  get quarantined(): number {
    return [...this.suspects.values()].filter(suspects.isQuarantined).length;
  }

  /**
   * Whether some suspect's body has this length, bytes; a cheap check before a fingerprint is
   * computed.
   */
  mayHaveSuspect(bodyBytes: number): boolean {
    return this.lengths.has(String(bodyBytes));
  }

  /** Whether some part of a prompt is suspect; a cheap check before a prompt's parts are parsed. */
  get hasSuspectParts(): boolean {
    return this.partCount > 0;
  }

  /** Assesses a request by all its fingerprints; those that can't be suspect may be left out. */
  assess(fingerprints: readonly string[]): Assessment {
    const found = fingerprints.filter((each) => this.suspects.has(each));
    if (found.length === 0) return { kind: 'free' };
    const culprit = found.find((each) => this.isRefused(each, fingerprints));
    return culprit === undefined
      ? { kind: 'suspected', suspects: found }
      : { kind: 'quarantined', culprit };
  }

  standing(fingerprint: string): QuarantineStatus {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined) return 'free';
    return suspects.isQuarantined(suspect) ? 'quarantined' : 'suspected';
  }

  /** Crashes that count against a request. */
  crashCount(fingerprint: string): number {
    const suspect = this.suspects.get(fingerprint);
    return suspect === undefined ? 0 : suspects.crashCountOf(suspect);
  }

  /** Lifetimes that crashed while they ran a request. */
  crashesOf(fingerprint: string): string[] {
    return this.suspects.get(fingerprint)?.endings.map(({ lifetime }) => lifetime) ?? [];
  }

  /**
   * Counts a crash of a lifetime against a request that it was running. Undefined where the crash
   * is known already, or happened before the request was sent.
   */
  reportCrash(
    fingerprint: string,
    lifetime: string,
    { sentAt, isTrial }: UnansweredRun,
    now: number,
  ): StatusChange | undefined {
    if (this.hadCrashed(lifetime, sentAt)) return undefined;
    if (this.lifetimes.isCleared(fingerprint, lifetime)) return undefined;
    this.lifetimes.record(lifetime, now);
    const suspect = this.suspects.get(fingerprint) ?? this.add(fingerprint, now);
    if (suspect.endings.some((each) => each.lifetime === lifetime)) return undefined;
    suspect.endings.push({ lifetime, at: now, isTrial });
    countCrash(suspect, now);
    this.lifetimes.addSuspect(fingerprint, lifetime);
    if (suspects.crashCountOf(suspect) >= QUARANTINE_CRASHES && !suspects.isQuarantined(suspect)) {
      suspect.quarantinedAt = now;
      suspect.quarantines += 1;
    }
    return this.statusChange(suspect, undefined);
  }

  /**
   * Takes an announcement of a lifetime; once that proves it alive, its crash no longer counts
   * against any request.
   */
  applyAnnouncement(lifetime: crashedLifetimes.Lifetime, sequence: number): StatusChange[] {
    const key = crashedLifetimes.lifetimeKey(lifetime);
    if (!this.lifetimes.confirmAlive(key, sequence)) return [];
    return this.lifetimes
      .suspectsOf(key)
      .map((content) => this.clearCrash(content, key, 'targetLives'));
  }

  /**
   * Takes a response of a lifetime to a message that was sent at that time. One sent after the lifetime's reported crash
   * shows that it hadn't crashed, so a later crash is a new one. What counts against requests stays until the leader hears
   * from the target.
   */
  responded(lifetime: crashedLifetimes.Lifetime, sentAt: number): void {
    const key = crashedLifetimes.lifetimeKey(lifetime);
    if (this.hadCrashed(key, sentAt)) this.lifetimes.forget(key);
  }

  /** Whether a lifetime is taken for crashed. */
  hasCrashed(lifetime: crashedLifetimes.Lifetime): boolean {
    return this.lifetimes.has(crashedLifetimes.lifetimeKey(lifetime));
  }

  /** Whether the crash of a lifetime was known before a time, so that no request sent since caused it. */
  hadCrashed(lifetime: string, before: number): boolean {
    return (this.lifetimes.reportedAt(lifetime) ?? Infinity) < before;
  }

  /** The request ran to completion, so it didn't cause the crashes that happened beside it. */
  completed(fingerprint: string): StatusChange | undefined {
    const suspect = this.suspects.get(fingerprint);
    return suspect === undefined ? undefined : this.clearSuspicion(suspect, 'ranWhole');
  }

  /**
   * A request with this part that was sent at that time has begun to answer, so the part didn't
   * cause the crashes before. Those reported since it was sent may be the first ones of a part that
   * has only now become harmful.
   */
  began(fingerprint: string, sentAt: number): StatusChange | undefined {
    const endings = this.suspects.get(fingerprint)?.endings ?? [];
    return endings
      .filter(({ at }) => at < sentAt)
      .map(({ lifetime }) => this.clearCrash(fingerprint, lifetime, 'began'))
      .at(-1);
  }

  /** Time until the quarantine ends, milliseconds; 0 outside of one. */
  remainingMs(fingerprint: string, now: number): number {
    const suspect = this.suspects.get(fingerprint);
    if (suspect?.quarantinedAt === undefined) return 0;
    return Math.max(0, suspect.quarantinedAt + suspects.quarantineDurationMs(suspect) - now);
  }

  /**
   * Advances time: ends quarantines, drops old suspicions and explains crashes by quarantined
   * requests.
   */
  tick(now: number): StatusChange[] {
    const all = [...this.suspects.values()];
    // Selected before any of them is released, as each may be what makes another one doubtful.
    const due = all.flatMap((each) => {
      const reason = this.dueReason(each, now);
      return reason === undefined ? [] : [{ suspect: each, reason }];
    });
    const released = due.map(({ suspect, reason }) => this.release(suspect, reason, now));
    const expired = all
      .filter(
        (each) =>
          !suspects.isQuarantined(each) && now - suspects.lastCrashAt(each) > SUSPECT_EXPIRY_MS,
      )
      .map((each) => this.clearSuspicion(each, 'expired'));
    return [...released, ...expired, ...this.explain(now)];
  }

  reports(now: number): suspects.SuspectReport[] {
    return [...this.suspects.values()].map((each) => suspects.toReport(each, now));
  }

  /** State of one request, without crashes where it isn't a suspect. */
  report(fingerprint: string, now: number): suspects.SuspectReport {
    const suspect = this.suspects.get(fingerprint);
    return suspect === undefined
      ? suspects.emptyReport(fingerprint)
      : suspects.toReport(suspect, now);
  }

  /** Applies the leader's report, which replaces the state of that request here. */
  applyReport(report: suspects.SuspectReport, now: number): void {
    const suspect = this.suspects.get(report.content);
    if (suspect !== undefined) this.deleteSuspect(suspect);
    if (report.endings.length > 0) this.restore(report, now);
  }

  /** Replaces all suspects by the leader's. */
  replaceAll(reports: readonly suspects.SuspectReport[], now: number): void {
    [...this.suspects.values()].forEach((each) => this.deleteSuspect(each));
    reports.forEach((report) => this.restore(report, now));
  }

  /** Adds the suspects of another copy, for a new leader; returns what changed. */
  merge(reports: readonly suspects.SuspectReport[], now: number): StatusChange[] {
    return reports.flatMap((received) => {
      const report = this.withoutCleared(received);
      const suspect = this.suspects.get(report.content);
      if (suspect === undefined) {
        return report.endings.length === 0
          ? []
          : [this.statusChange(this.restore(report, now), undefined)];
      }
      suspect.quarantines = Math.max(suspect.quarantines, report.quarantines);
      return (
        report.endings
          // The reporter has checked that the request was sent before the crash.
          .map(({ lifetime, isTrial }) => {
            return this.reportCrash(report.content, lifetime, { sentAt: -Infinity, isTrial }, now);
          })
          .filter((change) => change !== undefined)
      );
    });
  }

  /**
   * Removes crashes of which the request was cleared here; a follower may not have received that
   * yet.
   */
  private withoutCleared(report: suspects.SuspectReport): suspects.SuspectReport {
    const { content } = report;
    const endings = report.endings.filter(({ lifetime }) => {
      return !this.lifetimes.isCleared(content, lifetime);
    });
    if (endings.length === report.endings.length) return report;
    const quarantinedForMs =
      endings.length < QUARANTINE_CRASHES ? undefined : report.quarantinedForMs;
    return { ...report, endings, quarantinedForMs };
  }

  private add(fingerprint: string, now: number): Suspect {
    return this.restore(suspects.emptyReport(fingerprint), now);
  }

  private restore(report: suspects.SuspectReport, now: number): Suspect {
    if (this.suspects.size >= MAX_SUSPECTS) this.evict(now);
    const restored = suspects.fromReport(report, now);
    if (restored.totalEndings >= QUARANTINE_CRASHES)
      restored.thirdEndAt = suspects.lastCrashAt(restored);
    this.suspects.set(restored.content, restored);
    restored.endings.forEach(({ lifetime, at }) => {
      this.lifetimes.addSuspect(restored.content, lifetime);
      this.lifetimes.record(lifetime, at);
    });
    this.countKind(restored.content, 1);
    return restored;
  }

  private deleteSuspect(suspect: Suspect): void {
    const { content, endings } = suspect;
    this.suspects.delete(content);
    endings.forEach(({ lifetime }) => this.lifetimes.removeSuspect(content, lifetime));
    this.countKind(content, -1);
  }

  /** Counts a suspect by the length of its body, or as a part. */
  private countKind(fingerprint: string, change: 1 | -1): void {
    if (partFingerprint.isPart(fingerprint)) {
      this.partCount += change;
      return;
    }
    const length = bodyLengthOf(fingerprint);
    const count = (this.lengths.get(length) ?? 0) + change;
    if (count > 0) this.lengths.set(length, count);
    else this.lengths.delete(length);
  }

  /**
   * Whether a request with these fingerprints is refused because of one of them. Requests that
   * crash targets by their body, or by another part, share parts with innocent ones: these may run
   * as canaries as long as suspects that they don't have explain all crashes of the part but one.
   */
  private isRefused(fingerprint: string, requestFingerprints: readonly string[]): boolean {
    if (this.standing(fingerprint) !== 'quarantined') return false;
    if (!partFingerprint.isPart(fingerprint)) return true;
    const lifetimes = this.relevantCrashes(fingerprint);
    const unexplained = this.suspects.get(fingerprint)?.endings.filter(({ lifetime }) => {
      return (
        lifetimes.has(lifetime) && !this.isExplained(fingerprint, lifetime, requestFingerprints)
      );
    });
    return suspects.crashCountOf({ endings: unexplained ?? [] }) >= CRASHES_KEPT_ON_RELEASE;
  }

  /** Whether another possible culprit, which a request doesn't have, explains a crash of a part. */
  private isExplained(
    part: string,
    lifetime: string,
    requestFingerprints: readonly string[],
  ): boolean {
    const own = this.relevantCrashes(part);
    return this.lifetimes.suspectsOf(lifetime).some((other) => {
      if (other === part || requestFingerprints.includes(other)) return false;
      return this.mayBeCulprit(other) && !this.hasFewerCrashes(other, own);
    });
  }

  /**
   * Whether a suspect has only some of another one's crashes: it explains fewer of them, and not
   * better. One released as doubtful had more than those that are kept.
   */
  private hasFewerCrashes(fingerprint: string, others: ReadonlySet<string>): boolean {
    const isReduced = (this.suspects.get(fingerprint)?.doubts ?? 0) > 0;
    return !isReduced && isStrictSubset(this.relevantCrashes(fingerprint), others);
  }

  /** Lifetimes whose crash isn't known to be possibly another request's fault. */
  private relevantCrashes(fingerprint: string): Set<string> {
    const { endings = [], explained, shared } = this.suspects.get(fingerprint) ?? {};
    return new Set(
      endings
        .map(({ lifetime }) => lifetime)
        .filter((lifetime) => !explained?.has(lifetime) && !shared?.has(lifetime)),
    );
  }

  private clearSuspicion(suspect: Suspect, reason: ClearanceReason): StatusChange {
    const { content, endings } = suspect;
    this.deleteSuspect(suspect);
    endings.forEach(({ lifetime }) => this.lifetimes.recordCleared(content, lifetime));
    return { content, standing: 'free', endings: 0, reason };
  }

  /** The crash of a lifetime no longer counts against a request. */
  private clearCrash(fingerprint: string, lifetime: string, reason: ClearanceReason): StatusChange {
    const suspect = this.suspects.get(fingerprint) as Suspect;
    suspect.endings = suspect.endings.filter((each) => each.lifetime !== lifetime);
    this.lifetimes.removeSuspect(fingerprint, lifetime);
    this.lifetimes.recordCleared(fingerprint, lifetime);
    if (suspect.endings.length === 0) return this.clearSuspicion(suspect, reason);
    if (suspects.crashCountOf(suspect) < QUARANTINE_CRASHES) suspect.quarantinedAt = undefined;
    return this.statusChange(suspect, reason);
  }

  /** Why a quarantine ends now; undefined where it goes on. */
  private dueReason(suspect: Suspect, now: number): 'expired' | 'doubtful' | undefined {
    const { content, quarantinedAt, doubts } = suspect;
    if (quarantinedAt === undefined) return undefined;
    const lastedMs = now - quarantinedAt;
    if (lastedMs >= suspects.quarantineDurationMs(suspect)) return 'expired';
    if (suspect.laterEndings >= MAX_LATE_CRASHES) return undefined;
    const doubtDelayMs = partFingerprint.isPart(content)
      ? PART_DOUBT_DELAY_MS * PART_DOUBT_GROWTH ** doubts
      : DOUBT_DELAY_MS * 2 ** doubts;
    if (lastedMs < doubtDelayMs) return undefined;
    return this.isDoubtful(suspect) ? 'doubtful' : undefined;
  }

  private release(suspect: Suspect, reason: 'expired' | 'doubtful', now: number): StatusChange {
    if (reason === 'doubtful') {
      suspect.doubts += 1;
      // It may never have been a culprit, so this quarantine makes no later one longer.
      suspect.quarantines -= 1;
    }
    const remaining = suspect.endings.slice(-CRASHES_KEPT_ON_RELEASE);
    suspect.endings.slice(0, -CRASHES_KEPT_ON_RELEASE).forEach(({ lifetime }) => {
      this.lifetimes.removeSuspect(suspect.content, lifetime);
      this.lifetimes.recordCleared(suspect.content, lifetime);
      if (reason === 'doubtful' || partFingerprint.isPart(suspect.content)) {
        this.noteExplained(lifetime);
      }
    });
    suspect.endings = remaining.map(({ lifetime }) => ({ lifetime, at: now, isTrial: true }));
    suspect.quarantinedAt = undefined;
    suspect.explained.clear();
    return this.statusChange(suspect, reason);
  }

  /**
   * Notes that a crash of a request released as doubtful, or of a part, whose first quarantine is
   * short, may still be its fault. Without the note the crash would look like the fault of the
   * requests beside it as soon as it no longer counts, and they would stay refused for their whole
   * quarantine.
   */
  private noteExplained(lifetime: string): void {
    this.lifetimes.suspectsOf(lifetime).forEach((content) => {
      this.suspects.get(content)?.explained.add(lifetime);
    });
  }

  private isDoubtful(suspect: Suspect): boolean {
    const ownCrashes = suspect.endings.filter(({ lifetime }) => {
      if (suspect.explained.has(lifetime) || suspect.shared.has(lifetime)) return false;
      const others = this.lifetimes
        .suspectsOf(lifetime)
        .filter((other) => other !== suspect.content);
      return !others.some((other) => this.mayBeCulprit(other));
    });
    return suspects.crashCountOf({ endings: ownCrashes }) < CRASHES_KEPT_ON_RELEASE;
  }

  /**
   * Whether a request may have caused crashes. That includes one released as doubtful, whose canary
   * run is still to come, and one with two crashes, at the same time or not, as it may never come
   * again.
   */
  private mayBeCulprit(fingerprint: string): boolean {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined) return false;
    if (suspects.isQuarantined(suspect) || suspect.doubts > 0) return true;
    return suspect.endings.length >= QUARANTINE_CRASHES - 1;
  }

  /**
   * Crashes of a quarantined request no longer count against suspects whose crashes count as one.
   * Suspects with a crash in a canary run as well may be culprits of their own. A provisional
   * quarantine explains nothing: what it clears may be the culprit.
   */
  private explain(now: number): StatusChange[] {
    const culprits = [...this.suspects.values()].filter((each) => {
      const { quarantinedAt = Infinity } = each;
      return now - quarantinedAt >= EXPLANATION_DELAY_MS && !suspects.isProvisional(each);
    });
    return culprits.flatMap((culprit) => this.explainCrashesOf(culprit));
  }

  private explainCrashesOf(culprit: Suspect): StatusChange[] {
    const lifetimes = culprit.endings.map(({ lifetime }) => lifetime);
    // A suspect that is cleared here may be the culprit, with the quarantined request only beside
    // it.
    lifetimes
      .filter((lifetime) =>
        this.singleCrashSuspects(lifetime).some((fingerprint) => this.mayBeCulprit(fingerprint)),
      )
      .forEach((lifetime) => culprit.shared.add(lifetime));
    return lifetimes.flatMap((lifetime) => {
      return this.singleCrashSuspects(lifetime).map((fingerprint) =>
        this.clearCrash(fingerprint, lifetime, 'explained'),
      );
    });
  }

  /** Fingerprints of the suspects that this crash counts against, and no other one. */
  private singleCrashSuspects(lifetime: string): string[] {
    return this.lifetimes.suspectsOf(lifetime).filter((content) => this.crashCount(content) === 1);
  }

  /**
   * Evicts the suspect with the fewest crashes; among equals the one whose last crash is oldest.
   */
  private evict(now: number): void {
    const priorityOf = (each: Suspect): number => {
      return (
        suspects.crashCountOf(each) * SUSPECT_EXPIRY_MS -
        Math.min(SUSPECT_EXPIRY_MS, now - suspects.lastCrashAt(each))
      );
    };
    const all = [...this.suspects.values()];
    this.deleteSuspect(
      all.reduce((least, each) => (priorityOf(each) < priorityOf(least) ? each : least)),
    );
  }

  private statusChange(suspect: Suspect, reason: ClearanceReason | undefined): StatusChange {
    const { content } = suspect;
    return {
      content,
      standing: this.standing(content),
      endings: suspects.crashCountOf(suspect),
      reason,
    };
  }
}

/** Counts every crash, including those that later no longer count against the request. */
function countCrash(suspect: Suspect, now: number): void {
  suspect.totalEndings += 1;
  if (suspect.totalEndings === QUARANTINE_CRASHES) suspect.thirdEndAt = now;
  if (now > suspect.thirdEndAt + LATE_CRASH_MS) suspect.laterEndings += 1;
}

/** A fingerprint begins with the length of the body. */
function bodyLengthOf(fingerprint: string): string {
  return fingerprint.slice(0, fingerprint.indexOf('-'));
}

function isStrictSubset(some: ReadonlySet<string>, all: ReadonlySet<string>): boolean {
  return some.size < all.size && [...some].every((each) => all.has(each));
}
