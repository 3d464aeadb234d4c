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
import type * as lifeChecks from './lifeChecks';

/** A request as far as it matters here. */
export interface Suspectable {
  requestId: string;
  bodyBytes: number;
  /** Works out its content; see `fingerprint`. */
  content: () => string;
  service: string;
  /** Targets that it was sent to before. */
  excluded: readonly string[];
}

/** A target that a request was sent to. */
export interface Sent {
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

export interface Parts extends leaderCall.Parts {
  /** Name of this entry. */
  name: string;
  holding: Pick<holding.Holding, 'quarantine' | 'registry'>;
  lifeChecks: Pick<lifeChecks.LifeChecks, 'isAlive'>;
  observer: observer.Observer;
  now: () => number;
}

/**
 * How long a request whose connection broke waits for the verdict on its target before it goes on elsewhere, milliseconds. A
 * crashed one refuses a connection, and one that lives answers, after one way there and back; a dark one isn't waited for.
 */
const VERDICT_MS = 20;

/** Most ends that wait for a leader; those of an entry that is cut off from all targets for some seconds. */
const MOST_UNTOLD = 500;

/** Most ended trials that wait for a leader; an entry runs one for each suspect. */
const MOST_UNTOLD_TRIALS = 100;

/** A target's end that the leader is told of; `at` is this entry's clock. */
type Noticed = Omit<messages.EndedTarget, 'agoMs' | 'sentAgoMs'> & { at: number; sentAt: number };

export class CrashWatch {
  /** Suspects that run here; the leader's view is wider, but may be out of reach. */
  private readonly trials = new domain.quarantine.trials.Trials();

  /** An end that is lost would cost a further target. */
  private readonly ends = new leaderOutbox.LeaderOutbox<Noticed>(
    (noticed) => this.tellEnds(noticed),
    MOST_UNTOLD,
  );

  /** A trial that the leader takes for running keeps all copies of its request waiting. */
  private readonly endedTrials = new leaderOutbox.LeaderOutbox<messages.TrialEnded>(
    (trials) => this.tellTrials(trials),
    MOST_UNTOLD_TRIALS,
  );

  constructor(private readonly parts: Parts) {}

  /** Whether a request may be sent to a target now. */
  async permit(request: Suspectable): Promise<Permit> {
    const standing = this.standing(request);
    if (standing === 'quarantined') return this.refuse(request);
    if (standing === 'free') {
      return { kind: 'granted', endings: 0, target: undefined, end: this.ender(request) };
    }
    const { name, now } = this.parts;
    const { requestId: id, service, excluded } = request;
    const content = request.content();
    const trial = { id, entry: name, target: undefined };
    if (!this.trials.begin(content, trial, now())) return { kind: 'busy' };
    const answer = await this.askLeader({ content, id, entry: name, service, excluded });
    const end = (ranWhole: boolean): void => this.endTrial({ content, id, ranWhole });
    if (answer === undefined || answer.kind === 'granted') {
      // A leader may not have heard yet of what was seen here.
      const endings = Math.max(answer?.endings ?? 0, this.parts.holding.quarantine.count(content));
      return { kind: 'granted', endings, target: answer?.target, end };
    }
    this.trials.end(content, id);
    return answer.kind === 'busy' ? { kind: 'busy' } : this.refuse(request);
  }

  isQuarantined(request: Suspectable): boolean {
    return this.standing(request) === 'quarantined';
  }

  /** A request was sent and got no answer. Resolves when it is known whether its target ended, or soon. */
  async cut(request: Suspectable, sent: Sent): Promise<void> {
    await Promise.race([this.judge(request, sent), clock.pause(VERDICT_MS)]);
  }

  /** Ends that no leader has taken by now stay untold. */
  close(): void {
    this.ends.close();
    this.endedTrials.close();
  }

  private standing({ bodyBytes, content }: Suspectable): domain.quarantine.quarantine.Standing {
    const { quarantine } = this.parts.holding;
    return quarantine.mayKnow(bodyBytes) ? quarantine.standing(content()) : 'free';
  }

  private refuse(request: Suspectable): Permit {
    const { observer: observe, holding: held } = this.parts;
    const content = request.content();
    observe.count('quarantine.refused');
    observe.log('requestHeldBack', {
      request: request.requestId,
      content,
      lifetimes: held.quarantine.endings(content),
    });
    return { kind: 'quarantined' };
  }

  /** Of a request that nobody suspected when it began: that it ran to its end acquits its content all the same. */
  private ender(request: Suspectable): (ranWhole: boolean) => void {
    return (ranWhole) => {
      if (!ranWhole || this.standing(request) === 'free') return;
      void this.endedTrials.tell({ content: request.content(), id: request.requestId, ranWhole });
    };
  }

  private endTrial(ended: messages.TrialEnded): void {
    this.trials.end(ended.content, ended.id);
    void this.endedTrials.tell(ended);
  }

  private async tellTrials(trials: readonly messages.TrialEnded[]): Promise<boolean> {
    const answers = await Promise.all(
      trials.map((trial) => {
        return leaderCall.ask<messages.TakenAnswer>(this.parts, 'trialEnded', trial);
      }),
    );
    return answers.every((answer) => answer !== undefined);
  }

  private askLeader(
    question: messages.PermitQuestion,
  ): Promise<Exclude<messages.PermitAnswer, messages.Redirect> | undefined> {
    return leaderCall.ask<messages.PermitAnswer>(this.parts, 'permit', question);
  }

  private async judge(
    request: Suspectable,
    { target, address, sentAt, isTrial }: Sent,
  ): Promise<void> {
    const { lifeChecks: checks, observer: observe, holding: held, now } = this.parts;
    if (await checks.isAlive(target, address)) return;
    const record = held.registry.get(target);
    if (record !== undefined && hasLeft(record)) return;
    const content = request.content();
    observe.count('targets.endedUnderRequest');
    observe.log('targetEndedUnder', { request: request.requestId, content, target });
    const { bornAt } = record ?? { bornAt: 0 };
    const lifetime = { id: target, bornAt };
    const key = domain.quarantine.endedLifetimes.lifetimeOf(lifetime);
    held.quarantine.blame(content, key, { sentAt, isTrial }, now());
    void this.ends.tell({ content, lifetime, isTrial, sentAt, at: now() });
  }

  /** At once, also while an earlier word is under way: on one connection it then comes before the question whether its request may run again. */
  private async tellEnds(noticed: readonly Noticed[]): Promise<boolean> {
    const { holding: held, now } = this.parts;
    const ended = noticed.map(({ at, sentAt, ...each }) => {
      return { ...each, agoMs: now() - at, sentAgoMs: now() - sentAt };
    });
    const blame: messages.Blame = { ended };
    const answer = await leaderCall.ask<messages.BlameAnswer>(this.parts, 'blame', blame);
    if (answer === undefined) return false;
    // A leader that doesn't believe an end changes nothing and tells nobody else.
    answer.reports.forEach((report) => held.quarantine.take(report, now()));
    return true;
  }
}

/** A target that said that it leaves has ended by itself, and whatever it cut short didn't end it. */
function hasLeft({
  state,
  isPresumed,
  isRemembered,
}: domain.registry.registry.Announcement): boolean {
  if (state === 'ready') return false;
  return isPresumed !== true && isRemembered !== true;
}
