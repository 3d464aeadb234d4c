/**
 * An entry's part against requests under which targets end. Tells the leader which contents a target ran when it ended,
 * refuses what is in quarantine, and asks before it lets a suspect run. While nothing is suspected, a request costs one look into
 * an empty map; its content is worked out only where a suspect has a body of the same length.
 */
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as holding from '../fleet/holding';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';
import * as leaderCall from './leaderCall';
import * as leaderOutbox from './leaderOutbox';
import type * as livenessProbes from './livenessProbes';

/** A request as far as it matters here. */
export interface RequestInfo {
  requestId: string;
  bodyBytes: number;
  /** Works out its content; see `fingerprint`. */
  fingerprint: () => string;
  service: string;
  /** Targets that it was sent to before. */
  excluded: readonly string[];
}

/** A target that a request was sent to. */
export interface SentRequest {
  target: string;
  address: string;
  sentAt: number;
  /** Whether that was a trial; see `Grant`. */
  isTrial: boolean;
}

/** A request may be sent; `endings` count against its content, and with any of them the sending is a trial. */
export interface Grant {
  kind: 'granted';
  endings: number;
  /** Where it must run; undefined for any target. */
  target: string | undefined;
  end: (ranWhole: boolean) => void;
}

export type Permit =
  | Grant
  /** Another request with its content runs, and shows soon whether it ends its target. */
  | { kind: 'busy' }
  | { kind: 'quarantined' };

export interface Dependencies extends leaderCall.Dependencies {
  /** Name of this entry. */
  name: string;
  holding: Pick<holding.Holding, 'quarantine' | 'registry'>;
  liveness: Pick<livenessProbes.LivenessProbes, 'isAlive'>;
  observer: observer.Observer;
  now: () => number;
}

/**
 * How long a request whose connection broke waits for the verdict on its target before it goes on elsewhere, milliseconds. A
 * crashed one refuses a connection, and one that lives answers, after one way there and back; a dark one isn't waited for.
 */
const CRASH_CHECK_WAIT_MS = 20;

/** Most ends that wait for a leader; those of an entry that is cut off from all targets for some seconds. */
const MAX_UNREPORTED_CRASHES = 500;

/** Most ended trials that wait for a leader; an entry runs one for each suspect. */
const MAX_UNREPORTED_CANARIES = 100;

/** A target's end that the leader is told of; `at` is this entry's clock. */
type ObservedCrash = Omit<messages.EndedTarget, 'agoMs' | 'sentAgoMs'> & {
  at: number;
  sentAt: number;
};

export class QuarantineClient {
  /** Suspects that run here; the leader's view is wider, but may be out of reach. */
  private readonly canaryRuns = new domain.quarantine.trials.Trials();

  /** An end that is lost would cost a further target. */
  private readonly crashReports = new leaderOutbox.LeaderOutbox<ObservedCrash>(
    (crashes) => this.reportCrashes(crashes),
    MAX_UNREPORTED_CRASHES,
  );

  /** A trial that the leader takes for running keeps all copies of its request waiting. */
  private readonly canaryReports = new leaderOutbox.LeaderOutbox<messages.TrialEnded>(
    (runs) => this.reportCanaries(runs),
    MAX_UNREPORTED_CANARIES,
  );

  constructor(private readonly dependencies: Dependencies) {}

  /** Whether a request may be sent to a target now. */
  async permit(request: RequestInfo): Promise<Permit> {
    const status = this.statusOf(request);
    if (status === 'quarantined') return this.refuse(request);
    if (status === 'free') {
      return { kind: 'granted', endings: 0, target: undefined, end: this.completionOf(request) };
    }
    const { name, now } = this.dependencies;
    const { requestId: id, service, excluded } = request;
    const content = request.fingerprint();
    const run = { id, entry: name, target: undefined };
    if (!this.canaryRuns.begin(content, run, now())) return { kind: 'busy' };
    const answer = await this.requestPermit({ content, id, entry: name, service, excluded });
    const end = (ranWhole: boolean): void => this.endCanary({ content, id, ranWhole });
    if (answer === undefined || answer.kind === 'granted') {
      // A leader may not have heard yet of what was seen here.
      const endings = Math.max(
        answer?.endings ?? 0,
        this.dependencies.holding.quarantine.count(content),
      );
      return { kind: 'granted', endings, target: answer?.target, end };
    }
    this.canaryRuns.end(content, id);
    return answer.kind === 'busy' ? { kind: 'busy' } : this.refuse(request);
  }

  isQuarantined(request: RequestInfo): boolean {
    return this.statusOf(request) === 'quarantined';
  }

  /** A request was sent and got no answer. Resolves when it is known whether its target ended, or soon. */
  async checkForCrash(request: RequestInfo, sent: SentRequest): Promise<void> {
    await Promise.race([this.reportIfCrashed(request, sent), clock.pause(CRASH_CHECK_WAIT_MS)]);
  }

  /** Ends that no leader has taken by now stay untold. */
  close(): void {
    this.crashReports.close();
    this.canaryReports.close();
  }

  private statusOf({ bodyBytes, fingerprint }: RequestInfo): domain.quarantine.quarantine.Standing {
    const { quarantine } = this.dependencies.holding;
    return quarantine.mayKnow(bodyBytes) ? quarantine.standing(fingerprint()) : 'free';
  }

  private refuse(request: RequestInfo): Permit {
    const { observer: observe, holding: held } = this.dependencies;
    const content = request.fingerprint();
    observe.count('quarantine.refused');
    observe.log('requestHeldBack', {
      request: request.requestId,
      content,
      lifetimes: held.quarantine.endings(content),
    });
    return { kind: 'quarantined' };
  }

  /** Of a request that nobody suspected when it began: that it ran to its end acquits its content all the same. */
  private completionOf(request: RequestInfo): (ranWhole: boolean) => void {
    return (ranWhole) => {
      if (!ranWhole || this.statusOf(request) === 'free') return;
      void this.canaryReports.send({
        content: request.fingerprint(),
        id: request.requestId,
        ranWhole,
      });
    };
  }

  private endCanary(run: messages.TrialEnded): void {
    this.canaryRuns.end(run.content, run.id);
    void this.canaryReports.send(run);
  }

  private async reportCanaries(runs: readonly messages.TrialEnded[]): Promise<boolean> {
    const answers = await Promise.all(
      runs.map((run) => {
        return leaderCall.call<messages.TakenAnswer>(this.dependencies, 'trialEnded', run);
      }),
    );
    return answers.every((answer) => answer !== undefined);
  }

  private requestPermit(
    message: messages.PermitQuestion,
  ): Promise<Exclude<messages.PermitAnswer, messages.Redirect> | undefined> {
    return leaderCall.call<messages.PermitAnswer>(this.dependencies, 'permit', message);
  }

  private async reportIfCrashed(
    request: RequestInfo,
    { target, address, sentAt, isTrial }: SentRequest,
  ): Promise<void> {
    const { liveness: probes, observer: observe, holding: held, now } = this.dependencies;
    if (await probes.isAlive(target, address)) return;
    const record = held.registry.get(target);
    if (record !== undefined && hasStoppedItself(record)) return;
    const content = request.fingerprint();
    observe.count('targets.endedUnderRequest');
    observe.log('targetEndedUnder', { request: request.requestId, content, target });
    const { bornAt } = record ?? { bornAt: 0 };
    const lifetime = { id: target, bornAt };
    const key = domain.quarantine.endedLifetimes.lifetimeOf(lifetime);
    held.quarantine.blame(content, key, { sentAt, isTrial }, now());
    void this.crashReports.send({ content, lifetime, isTrial, sentAt, at: now() });
  }

  /** At once, also while an earlier word is under way: on one connection it then comes before the question whether its request may run again. */
  private async reportCrashes(crashes: readonly ObservedCrash[]): Promise<boolean> {
    const { holding: held, now } = this.dependencies;
    const ended = crashes.map(({ at, sentAt, ...each }) => {
      return { ...each, agoMs: now() - at, sentAgoMs: now() - sentAt };
    });
    const blame: messages.Blame = { ended };
    const answer = await leaderCall.call<messages.BlameAnswer>(this.dependencies, 'blame', blame);
    if (answer === undefined) return false;
    // A leader that doesn't believe an end changes nothing and tells nobody else.
    answer.reports.forEach((report) => held.quarantine.take(report, now()));
    return true;
  }
}

/** A target that said that it leaves has ended by itself, and whatever it cut short didn't end it. */
function hasStoppedItself({
  state,
  isPresumed,
  isRemembered,
}: domain.registry.registry.Announcement): boolean {
  if (state === 'ready') return false;
  return isPresumed !== true && isRemembered !== true;
}
