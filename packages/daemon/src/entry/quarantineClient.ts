/**
 * Protects targets from requests that crash them. Reports the fingerprints of requests that a target ran when it
 * crashed, and of the parts of their prompts; refuses quarantined requests, and asks the leader for permission before a
 * suspect request runs. Without suspects a request costs one lookup in an empty map; its fingerprint is computed only if
 * a suspect has a body of the same length, and its parts are parsed only while one is suspect.
 */
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as fleetState from '../fleet/fleetState';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';
import * as leaderCall from './leaderCall';
import * as leaderOutbox from './leaderOutbox';
import type * as livenessProbes from './livenessProbes';
import type * as livenessVerdict from './livenessVerdict';
import type * as pathMonitor from './pathMonitor';
import * as permittedRun from './permittedRun';

/** A request that may be a suspect. */
export interface RequestInfo {
  requestId: string;
  bodyBytes: number;
  /** Computes the fingerprint; see the module `fingerprint`. */
  fingerprint: () => string;
  /** Ids of the parts of its prompt that other requests may share. */
  sharedParts: () => readonly string[];
  service: string;
  /** Targets that it was sent to before, or that are unavailable to it. */
  excluded: readonly string[];
}

/** An attempt that got no response. */
export interface SentRequest {
  target: string;
  address: string;
  /** Start time of the lifetime that it was sent to. */
  bornAt: number;
  sentAt: number;
  run: Pick<permittedRun.PermittedRun, 'isCanaryOf'>;
  /** Whether an event of its stream had arrived. */
  hasBegun: boolean;
}

export type Permit =
  | permittedRun.PermittedRun
  /**
   * Another request with the same fingerprint makes a canary run, which soon shows whether it crashes its target.
   * `isCopy` if that is the fingerprint of the whole request.
   */
  | { kind: 'busy'; isCopy: boolean }
  /** `retryAfterMs` where a part of its prompt is in quarantine: the time until that ends, milliseconds. */
  | { kind: 'quarantined'; retryAfterMs: number | undefined };

/** Keeps a request from running now. */
export type Denial = Exclude<Permit, { kind: 'granted' }>;

export type Standing = 'free' | 'suspected' | 'partQuarantined' | 'quarantined';

export interface Dependencies extends leaderCall.Dependencies {
  /** Name of this entry. */
  name: string;
  fleetState: Pick<fleetState.FleetState, 'quarantine' | 'registry'>;
  liveness: Pick<livenessProbes.LivenessProbes, 'check' | 'isAskingOthers' | 'probePath'>;
  /** This VM's own paths: while they are lost, a target that doesn't respond needn't have crashed. */
  paths?: Pick<pathMonitor.PathMonitor, 'reachOfService' | 'failingSince'>;
  observer: observer.Observer;
  now: () => number;
}

/**
 * How long a request whose connection broke waits for the liveness probe of its target before it continues elsewhere,
 * milliseconds. Within one round trip a crashed target refuses the connection and a live one responds; an unreachable
 * target isn't waited for.
 */
const CRASH_CHECK_WAIT_MS = 20;

/**
 * How long it waits beyond that while other VMs are asked whether they reach the target, milliseconds: a question that
 * none answers. A request that continues before its crash is reported may crash one target more.
 */
const CONFIRMATION_WAIT_MS = 350;

/** Time after which a silent target is checked again, milliseconds. A sound target may be silent for a second. */
const RECHECK_MS = 1_000;

/** Probes meanwhile, which see a response between two silences; the last one is over before the second check. */
const PROBES_BETWEEN_CHECKS = 2;

/**
 * While no other VM can tell, how long this one waits for a response of the service, which shows that its own paths are
 * sound, and the interval at which it looks for one, milliseconds. By then a loss of the paths to a service is known.
 */
const OWN_PATHS_WAIT_MS = 1_000;
const OWN_PATHS_POLL_MS = 50;

/** Maximum number of unreported crashes: enough for an entry that is cut off from all targets for some seconds. */
const MAX_UNREPORTED_CRASHES = 500;

/** Maximum number of unreported canary runs; an entry makes one at a time for each suspect. */
const MAX_UNREPORTED_CANARIES = 100;

/** What is known of a target that didn't respond: it has crashed, by the word of others or of this VM, or needn't have. */
type Evidence = 'confirmed' | 'own' | 'responds' | 'respondsElsewhere' | 'ownPathsLost';

/** A crash to be reported to the leader; `at` and `sentAt` are on this entry's clock. */
type ObservedCrash = Omit<messages.TargetCrash, 'agoMs' | 'sentAgoMs'> & {
  at: number;
  sentAt: number;
};

export class QuarantineClient {
  /** Canary runs of this entry. The leader knows those of all entries, but may be unreachable. */
  private readonly canaryRuns = new domain.quarantine.canaryRuns.CanaryRuns();

  /** Reports of crashes. A lost one would cost another target, as the request would run once more. */
  private readonly crashReports = new leaderOutbox.LeaderOutbox<readonly ObservedCrash[]>(
    (crashes) => this.reportCrashes(crashes.flat()),
    MAX_UNREPORTED_CRASHES,
  );

  /** Reports of finished canary runs. While the leader counts one as running, all copies of its request wait. */
  private readonly canaryReports = new leaderOutbox.LeaderOutbox<permittedRun.Conclusion>(
    (runs) => this.reportCanaries(runs),
    MAX_UNREPORTED_CANARIES,
  );

  constructor(private readonly dependencies: Dependencies) {}

  /** Whether a request may be sent to a target now. */
  async permit(request: RequestInfo): Promise<Permit> {
    const assessment = this.assess(request);
    if (assessment.kind === 'quarantined') return this.refuse(request, assessment.culprit);
    if (assessment.kind === 'free') return this.grant(request, [], { endings: 0 });
    const { suspects } = assessment;
    if (!this.beginCanary(request, suspects)) return busy(suspects);
    const { quarantine } = this.dependencies.fleetState;
    const answer = await this.requestPermit(request, suspects);
    if (answer === undefined || answer.kind === 'granted') {
      // The leader may not have received this entry's crash reports yet.
      const counts = suspects.map((each) => quarantine.crashCount(each));
      const endings = Math.max(answer?.endings ?? 0, ...counts);
      return this.grant(request, suspects, { endings, target: answer?.target });
    }
    suspects.forEach((each) => this.canaryRuns.end(each, request.requestId));
    if (answer.kind === 'busy') return busy(suspects);
    return this.refuse(request, answer.culprit ?? suspects[0]);
  }

  /** What is known of a request; `partQuarantined` if that is all that keeps it from running. */
  standingOf(request: RequestInfo): Standing {
    const assessment = this.assess(request);
    if (assessment.kind !== 'quarantined') return assessment.kind;
    const isPart = domain.quarantine.partFingerprint.isPart(assessment.culprit);
    return isPart ? 'partQuarantined' : 'quarantined';
  }

  /**
   * Probes the target of an attempt without a response, and reports a crash. Resolves with the report, or after a short
   * wait.
   */
  async checkForCrash(request: RequestInfo, sent: SentRequest): Promise<void> {
    const reported = this.reportIfCrashed(request, sent);
    await Promise.race([reported, clock.sleep(CRASH_CHECK_WAIT_MS)]);
    if (!this.dependencies.liveness.isAskingOthers(sent.target)) return;
    await Promise.race([reported, clock.sleep(CONFIRMATION_WAIT_MS)]);
  }

  /** Drops reports that no leader has accepted yet. */
  close(): void {
    this.crashReports.close();
    this.canaryReports.close();
  }

  /** Fingerprints of a request that may be suspect; those that no suspect can have aren't computed. */
  private suspectableFingerprints(request: RequestInfo): string[] {
    const { quarantine } = this.dependencies.fleetState;
    const whole = quarantine.mayHaveSuspect(request.bodyBytes) ? [request.fingerprint()] : [];
    return quarantine.hasSuspectParts ? [...whole, ...partsOf(request)] : whole;
  }

  private assess(request: RequestInfo): domain.quarantine.quarantine.Assessment {
    const { quarantine } = this.dependencies.fleetState;
    return quarantine.assess(this.suspectableFingerprints(request));
  }

  private refuse(request: RequestInfo, culprit: string): Permit {
    const { observer: observe, fleetState: state, now } = this.dependencies;
    const { quarantine } = state;
    observe.count('quarantine.refused');
    observe.log('requestHeldBack', {
      request: request.requestId,
      content: culprit,
      lifetimes: quarantine.crashesOf(culprit),
    });
    const isPart = domain.quarantine.partFingerprint.isPart(culprit);
    return {
      kind: 'quarantined',
      retryAfterMs: isPart ? quarantine.remainingMs(culprit, now()) : undefined,
    };
  }

  private grant(
    request: RequestInfo,
    canaryOf: readonly string[],
    { endings, target }: { endings: number; target?: string },
  ): permittedRun.PermittedRun {
    const { quarantine } = this.dependencies.fleetState;
    const suspects = (): string[] => {
      const possible = this.suspectableFingerprints(request);
      return possible.filter((each) => quarantine.standing(each) !== 'free');
    };
    return new permittedRun.PermittedRun(
      { id: request.requestId, canaryOf, endings, target, suspects },
      {
        quarantine,
        canaryRuns: this.canaryRuns,
        report: (conclusion) => {
          void this.canaryReports.send(conclusion);
        },
        now: this.dependencies.now,
      },
    );
  }

  /** Begins a canary run of all these fingerprints; false while another request makes one of any of them. */
  private beginCanary({ requestId: id }: RequestInfo, suspects: readonly string[]): boolean {
    const { name, now } = this.dependencies;
    const run = { id, entry: name, target: undefined };
    if (!suspects.every((each) => this.canaryRuns.mayBegin(each, run, now()))) return false;
    suspects.forEach((each) => this.canaryRuns.begin(each, run, now()));
    return true;
  }

  private async reportCanaries(runs: readonly permittedRun.Conclusion[]): Promise<boolean> {
    const answers = await Promise.all(
      runs.map(({ sentAt, ...run }) => {
        const age = sentAt === undefined ? {} : { sentAgoMs: this.dependencies.now() - sentAt };
        const message: messages.CanaryEnded = { ...run, ...age };
        return leaderCall.call<messages.AppliedAnswer>(this.dependencies, 'trialEnded', message);
      }),
    );
    return answers.every((answer) => answer !== undefined);
  }

  private requestPermit(
    request: RequestInfo,
    [content]: readonly string[],
  ): Promise<Exclude<messages.PermitAnswer, messages.Redirect> | undefined> {
    const { requestId: id, service, excluded } = request;
    const fingerprints = [request.fingerprint(), ...partsOf(request)];
    const { name: entry } = this.dependencies;
    const message: messages.PermitRequest = {
      ...{ content, fingerprints, id, entry, service, excluded },
    };
    return leaderCall.call<messages.PermitAnswer>(this.dependencies, 'permit', message);
  }

  private async reportIfCrashed(
    request: RequestInfo,
    { target, address, bornAt, sentAt, run, hasBegun }: SentRequest,
  ): Promise<void> {
    const { observer: observe, fleetState: state, now } = this.dependencies;
    const evidence = await this.crashEvidence({ target, address, bornAt });
    const lifetime = { id: target, bornAt };
    const acquittal = isCrash(evidence) ? this.acquittalOf(lifetime, sentAt) : evidence;
    if (acquittal !== undefined) {
      observe.log('crashNotCounted', { request: request.requestId, target, reason: acquittal });
      return;
    }
    const key = domain.quarantine.crashedLifetimes.lifetimeKey(lifetime);
    const content = request.fingerprint();
    observe.count('targets.endedUnderRequest');
    observe.log('targetEndedUnder', {
      request: request.requestId,
      content,
      parts: request.sharedParts(),
      hasBegun,
      target,
    });
    const isConfirmed = evidence === 'confirmed';
    // A part that crashes targets does so before the first event.
    const suspects = hasBegun ? [content] : [content, ...partsOf(request)];
    const crashes = suspects.map((each): ObservedCrash => {
      const isTrial = run.isCanaryOf(each);
      state.quarantine.reportCrash(each, key, { sentAt, isTrial }, now());
      return { content: each, lifetime, isTrial, isConfirmed, sentAt, at: now() };
    });
    void this.crashReports.send(crashes);
  }

  /** Why the end of a lifetime is not the fault of a request that was sent to it; undefined if it may be. */
  private acquittalOf(
    lifetime: domain.quarantine.crashedLifetimes.Lifetime,
    sentAt: number,
  ): 'stopped' | 'crashedBefore' | undefined {
    const { registry, quarantine } = this.dependencies.fleetState;
    const record = registry.get(lifetime.id);
    if (record?.bornAt === lifetime.bornAt && hasStoppedItself(record)) return 'stopped';
    const key = domain.quarantine.crashedLifetimes.lifetimeKey(lifetime);
    // A leader that is new may learn of the crash only now, and would take it for later than the request.
    return quarantine.hadCrashed(key, sentAt) ? 'crashedBefore' : undefined;
  }

  /**
   * Whether a target that didn't respond has crashed, by the word of another VM or, where none can tell, this VM's own
   * probe, which is as good while others of the service respond. A refusal shows a crash at once, and silence only if it
   * lasts.
   */
  private async crashEvidence({
    target,
    address,
    bornAt,
  }: Pick<SentRequest, 'target' | 'address' | 'bornAt'>): Promise<Evidence> {
    const { liveness: probes, now, fleetState: state } = this.dependencies;
    const checkedAt = now();
    let verdict = await probes.check(target, address);
    if (isOnlySilent(verdict)) {
      const silentAt = now();
      await this.awaitRecheck(target, address);
      verdict = await probes.check(target, address);
      // One that restarted under its id meanwhile responds again.
      if ((state.registry.get(target)?.bornAt ?? bornAt) > bornAt) return 'own';
      if (isOnlySilent(verdict) && this.hasRespondedSince(target, silentAt)) return 'responds';
    }
    if (verdict === 'dead' || verdict === 'silent' || verdict === 'missing') return 'confirmed';
    if (verdict === 'alive') return 'responds';
    if (verdict === 'pathLost') return 'respondsElsewhere';
    const reach = await this.reachOfService(target, checkedAt);
    if (reach === 'reached') return 'confirmed';
    return reach === 'lost' ? 'ownPathsLost' : 'own';
  }

  private async awaitRecheck(target: string, address: string): Promise<void> {
    const pauseMs = RECHECK_MS / (PROBES_BETWEEN_CHECKS + 1);
    for (let probes = 0; probes < PROBES_BETWEEN_CHECKS; probes++) {
      await clock.sleep(pauseMs);
      void this.dependencies.liveness.probePath(target, address);
    }
    await clock.sleep(pauseMs);
  }

  /** Whether a target that was silent at that time, and is now, has responded between. */
  private hasRespondedSince(target: string, silentAt: number): boolean {
    return (this.dependencies.paths?.failingSince(target) ?? -Infinity) > silentAt;
  }

  /** Whether this VM reaches the target's service; waits for a while until that is known. */
  private async reachOfService(
    target: string,
    since: number,
  ): Promise<domain.reachability.targetPaths.Reach> {
    const { paths, now } = this.dependencies;
    const deadline = now() + OWN_PATHS_WAIT_MS;
    let reach = paths?.reachOfService(target, since) ?? 'unknown';
    while (reach === 'unknown' && paths !== undefined && now() < deadline) {
      await clock.sleep(OWN_PATHS_POLL_MS);
      reach = paths.reachOfService(target, since);
    }
    return reach;
  }

  /**
   * Called at once for each crash, also while an earlier report is in flight: on the same connection it then arrives
   * before the `permit` call of the request that is to run again.
   */
  private async reportCrashes(crashes: readonly ObservedCrash[]): Promise<boolean> {
    const { fleetState: state, now } = this.dependencies;
    const ended = crashes.map(({ at, sentAt, ...each }) => {
      return { ...each, agoMs: now() - at, sentAgoMs: now() - sentAt };
    });
    const blame: messages.CrashReport = { entry: this.dependencies.name, ended };
    const answer = await leaderCall.call<messages.CrashReportAnswer>(
      this.dependencies,
      'blame',
      blame,
    );
    if (answer === undefined) return false;
    // A leader that rejects a crash report changes nothing and sends no update, so its answer replaces the local state.
    answer.reports.forEach((report) => state.quarantine.applyReport(report, now()));
    return true;
  }
}

/** Whether nothing but silence tells that a target has crashed. */
function isOnlySilent(verdict: livenessVerdict.Verdict): boolean {
  return verdict === 'silent' || verdict === 'unknown' || verdict === 'unasked';
}

function isCrash(evidence: Evidence): evidence is 'confirmed' | 'own' {
  return evidence === 'confirmed' || evidence === 'own';
}

/** Fingerprints of the parts of a request's prompt. */
function partsOf(request: RequestInfo): string[] {
  return domain.quarantine.partFingerprint.ofParts(request.sharedParts());
}

function busy(suspects: readonly string[]): Permit {
  return { kind: 'busy', isCopy: !suspects.every(domain.quarantine.partFingerprint.isPart) };
}

/** Whether a target announced its stop, so that no request that it interrupted is to blame. */
function hasStoppedItself({
  state,
  isPresumed,
  isRemembered,
}: domain.registry.registry.Announcement): boolean {
  if (state === 'ready') return false;
  return isPresumed !== true && isRemembered !== true;
}
