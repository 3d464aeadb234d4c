/**
 * Forwards calls to plain services. Repeatable calls are retried. A call that must not be repeated is
 * claimed in the ledger first, and only the daemon that holds the claim dispatches it, at most once.
 */
import * as crypto from 'node:crypto';
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import type * as targetErrors from '../targets/errors';
import * as httpClient from '../targets/httpClient';
import * as errors from './errors';
import type * as ledgerClient from './ledgerClient';
import type * as router from './router';

type Target = domain.target.target.Target;
type CommandResult = domain.ledger.ledger.CommandResult;

export interface ServiceCall {
  tenant: domain.settings.directory.Tenant;
  service: domain.settings.document.Service;
  method: string;
  /** Path and query, relative to the service. */
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  /** The caller's idempotency key, or empty. */
  key: string;
  deadline: number;
}

export interface ServiceAnswer {
  status: number;
  contentType: string;
  body: Buffer;
  /** Whether the answer is the stored one of an earlier call, from the ledger. */
  replayed: boolean;
}

export interface Options {
  client: httpClient.HttpClient;
  ledger: ledgerClient.LedgerClient;
  router: router.Router;
  observer: observer.Observer;
  budget: domain.request.retry.Budget;
  random: domain.shared.random.Random;
  targets: (service: string) => Target[];
  now: () => number;
}

/** Interval at which a resend polls the ledger while the first call still runs. */
const CLAIM_POLL_INTERVAL_MS = 50;

type FailedAttempt = { attempt: domain.request.outcome.Attempt; error: targetErrors.TargetError };

/** Whether no rule of the service (method and path prefix) marks the call as not repeatable. */
export function isRepeatable(
  service: domain.settings.document.Service,
  call: ServiceCall,
): boolean {
  return !service.notRepeatable.some((rule) => {
    const [method, prefix] = rule.split(' ') as [string, string];
    return call.method === method && call.path.startsWith(prefix);
  });
}

export class ServiceProxy {
  private readonly roundRobinCounters = new Map<string, number>();

  constructor(private readonly options: Options) {}

  async handle(call: ServiceCall): Promise<Result<ServiceAnswer, errors.RequestError>> {
    if (isRepeatable(call.service, call)) return this.callRepeatable(call);
    // Without an idempotency key a resend can't be recognised; the call then runs at most once, without a claim.
    return call.key === '' ? this.callAtMostOnce(call) : this.callWithClaim(call);
  }

  private async callRepeatable(
    call: ServiceCall,
  ): Promise<Result<ServiceAnswer, errors.RequestError>> {
    const attempts: domain.request.outcome.Attempt[] = [];
    this.options.budget.firstAttempt();
    for (;;) {
      const result = await this.attempt(call, attempts, false);
      if (result.ok) return result;
      if (result.val === 'noTarget') return Err(noTargetError(call, attempts, true));
      attempts.push(result.val.attempt);
      const decision = domain.request.retry.decide(
        attempts,
        true,
        call.deadline - this.options.now(),
        result.val.error.retryAfterMs,
        this.options.budget,
        this.options.random,
      );
      if (decision.kind === 'giveUp') return Err(attemptsError(attempts, true));
      await clock.sleep(decision.delayMs);
    }
  }

  /** Tries another target only while it is certain that none has run the call. */
  private async callAtMostOnce(
    call: ServiceCall,
  ): Promise<Result<ServiceAnswer, errors.RequestError>> {
    const attempts: domain.request.outcome.Attempt[] = [];
    for (;;) {
      const result = await this.attempt(call, attempts, true);
      if (result.ok) return result;
      if (result.val === 'noTarget') return Err(noTargetError(call, attempts, false));
      attempts.push(result.val.attempt);
      const isProvenNotRun = domain.request.outcome.proof(result.val.attempt) === 'notRun';
      if (!isProvenNotRun || this.options.now() >= call.deadline)
        return Err(attemptsError(attempts, false));
    }
  }

  private async callWithClaim(
    call: ServiceCall,
  ): Promise<Result<ServiceAnswer, errors.RequestError>> {
    const { team, organisation } = call.tenant;
    const key = [team, organisation.name, call.service.name, call.key].join('/');
    const attempt = crypto.randomUUID();
    const claim = {
      kind: 'claim',
      key,
      organisation: `${team}/${organisation.name}`,
      content: digestOf(call),
      attempt,
      at: 0,
    } as const;
    for (;;) {
      const remainingMs = call.deadline - this.options.now();
      const timedClaim = { ...claim, timeLeftMs: remainingMs };
      const claimed = await this.options.ledger.execute(timedClaim, Math.min(remainingMs, 8_000));
      if (claimed.err) {
        // The claim may still be committed later; it is released so that a resend can run.
        void this.options.ledger.execute({ kind: 'release', key, attempt, at: 0 }, 30_000);
        return Err(claimError(claimed.val.detail));
      }
      if (claimed.val.kind === 'granted') return this.runClaimed(call, key, attempt);
      if (claimed.val.kind !== 'running') return resultOfClaim(claimed.val);
      if (remainingMs <= CLAIM_POLL_INTERVAL_MS) return Err(stillRunningError());
      await clock.sleep(CLAIM_POLL_INTERVAL_MS);
    }
  }

  private async runClaimed(
    call: ServiceCall,
    key: string,
    attempt: string,
  ): Promise<Result<ServiceAnswer, errors.RequestError>> {
    // The claim may be granted late; after the deadline others treat its outcome as unknown.
    if (this.options.now() >= call.deadline) {
      await this.recordOutcome({ kind: 'release', key, attempt, at: 0 });
      return Err(errors.notRun('deadline', 'the deadline passed before the call was sent'));
    }
    const result = await this.callAtMostOnce(call);
    if (result.ok) {
      const { status, contentType, body } = result.val;
      const answer = { status, contentType, body: body.toString('base64') };
      await this.recordOutcome({
        kind: 'settle',
        key,
        attempt,
        settlement: 'completed',
        answer,
        at: 0,
      });
      return result;
    }
    if (result.val.outcome === 'notRun') {
      await this.recordOutcome({ kind: 'release', key, attempt, at: 0 });
      return result;
    }
    this.options.observer.log('claimUnknown', { key });
    const unknown = { settlement: 'unknown', answer: undefined } as const;
    await this.recordOutcome({ kind: 'settle', key, attempt, ...unknown, at: 0 });
    return result;
  }

  /** A failure to record the outcome is safe: the claim stays, and resends receive "unknown". */
  private async recordOutcome(
    command: domain.ledger.ledger.Settle | domain.ledger.ledger.Release,
  ): Promise<void> {
    const recorded = await this.options.ledger.execute(command, 2_000);
    if (recorded.err) void this.options.ledger.execute(command, 30_000);
  }

  private async attempt(
    call: ServiceCall,
    attempts: readonly domain.request.outcome.Attempt[],
    newConnection: boolean,
  ): Promise<Result<ServiceAnswer, FailedAttempt | 'noTarget'>> {
    const target = this.chooseTarget(call, attempts, newConnection);
    if (target === undefined) return Err('noTarget');
    try {
      const answer = await this.send(call, target, newConnection);
      if (answer.ok) this.options.router.succeeded(target.name);
      return answer;
    } catch (error) {
      this.options.router.failed(target.name);
      const targetError = httpClient.targetErrorOf(error);
      const { progress, fault } = targetError;
      return Err({ attempt: { target: target.name, progress, fault }, error: targetError });
    }
  }

  /**
   * A target, untried if possible. All may be out of reach for a moment, so a call that may be repeated returns to those
   * that it couldn't be sent to.
   */
  private chooseTarget(
    call: ServiceCall,
    attempts: readonly domain.request.outcome.Attempt[],
    isOnceOnly: boolean,
  ): Target | undefined {
    const tried = new Set(attempts.map(({ target }) => target));
    const reached = new Set(
      attempts.filter(({ progress }) => progress !== 'notSent').map(({ target }) => target),
    );
    const all = this.options.targets(call.service.name);
    const untried = all.filter(({ name }) => !tried.has(name));
    const unreached = isOnceOnly ? [] : all.filter(({ name }) => !reached.has(name));
    const allowed = untried.length > 0 ? untried : unreached;
    const healthy = allowed.filter(({ name }) => !this.options.router.isCircuitOpen(name));
    const candidates = healthy.length > 0 ? healthy : allowed;
    const counter = (this.roundRobinCounters.get(call.service.name) ?? 0) + 1;
    this.roundRobinCounters.set(call.service.name, counter);
    return candidates[counter % Math.max(1, candidates.length)];
  }

  private async send(
    call: ServiceCall,
    target: Target,
    newConnection: boolean,
  ): Promise<Result<ServiceAnswer, FailedAttempt>> {
    const remainingMs = Math.max(1, Math.ceil(call.deadline - this.options.now()));
    const timeoutMs = Math.min(remainingMs, call.service.timeoutSeconds * 1_000);
    const sent: httpClient.Call = {
      method: call.method,
      path: call.path,
      headers: { ...call.headers, 'x-organisation': call.tenant.organisation.name },
      body: call.body,
      signal: AbortSignal.timeout(timeoutMs),
      headersTimeoutMs: 0,
      // The target may close a pooled connection at the moment of sending, which leaves it unknown whether
      // the call was received. A call that must run at most once always uses a new connection.
      newConnection,
      purpose: 'request',
    };
    const { client } = this.options;
    const { statusCode, headers, body } = await client.request(target.address, sent);
    const content = await client.read(target.address, sent, body);
    if (headers['x-not-run'] === 'true') {
      const attempt = {
        target: target.name,
        progress: 'refusedByTarget',
        fault: 'refused',
      } as const;
      const retryAfterMs = Number(headers['retry-after'] ?? 0) * 1_000;
      const error = { ...attempt, detail: `status ${statusCode}`, retryAfterMs };
      return Err({ attempt, error });
    }
    const contentType = String(headers['content-type'] ?? 'application/octet-stream');
    return Ok({ status: statusCode, contentType, body: content, replayed: false });
  }
}

function digestOf({ method, path, body }: ServiceCall): string {
  return crypto.createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex');
}

function claimError(detail: string): errors.RequestError {
  // Calls are dispatched only with a granted claim, so this one certainly did not run.
  return errors.notRun('notReady', `the ledger is unavailable: ${detail}`, 1_000);
}

function stillRunningError(): errors.RequestError {
  const message = 'the first call with this key is still running';
  return { kind: 'outcomeUnknown', outcome: 'unknown', message, retryAfterMs: 1_000 };
}

function noTargetError(
  { service }: ServiceCall,
  attempts: readonly domain.request.outcome.Attempt[],
  repeatable: boolean,
): errors.RequestError {
  if (attempts.length > 0) return attemptsError(attempts, repeatable);
  return errors.notRun('noTarget', `no target of service ${service.name} is available`, 1_000);
}

function attemptsError(
  attempts: readonly domain.request.outcome.Attempt[],
  repeatable: boolean,
): errors.RequestError {
  const outcome = domain.request.outcome.outcomeOf(attempts, repeatable);
  const last = attempts.at(-1);
  const message = `${last?.fault ?? 'failed'} at ${last?.target ?? 'no target'}`;
  if (outcome === 'unknown') return errors.unknown(message);
  return { kind: 'failed', outcome, message, retryAfterMs: outcome === 'notRun' ? 1_000 : 0 };
}

function resultOfClaim(result: CommandResult): Result<ServiceAnswer, errors.RequestError> {
  if (result.kind === 'mismatch') {
    return Err(errors.notRun('keyMismatch', 'this idempotency key was used for another call'));
  }
  if (result.kind === 'expired') {
    const message = 'this idempotency key is too old; its outcome is no longer stored';
    return Err({ kind: 'keyExpired', outcome: 'unknown', message, retryAfterMs: 0 });
  }
  if (result.kind === 'overLimit') {
    const message = 'the organisation holds too many claims';
    return Err(errors.notRun('overLimit', message, result.retryAfterMs));
  }
  if (result.kind === 'settled' && result.settlement === 'completed') {
    const { status, contentType, body } = result.answer as domain.ledger.ledger.Answer;
    return Ok({ status, contentType, body: Buffer.from(body, 'base64'), replayed: true });
  }
  const message = 'an earlier call with this key ended without a known outcome';
  return Err(errors.unknown(message));
}
