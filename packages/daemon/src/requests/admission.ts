/**
 * Admission control: authenticates the caller, resolves the model or service, the deadline and the priority,
 * estimates the tokens of the prompt and charges the organisation's rate limit. A request refused here has certainly
 * not run.
 */
import * as crypto from 'node:crypto';
import * as domain from '@celerydrift/domain';
import * as Option from 'fp-ts/Option';
import { Err, Ok, Result } from 'ts-results';
import * as errors from './errors';

type Tenant = domain.settings.directory.Tenant;

export interface Options {
  hash: domain.shared.hashing.Hash;
  now: () => number;
  /** Number of live daemons, which share each limit. */
  liveDaemonCount: () => number;
  /** Demand of all peers for an organisation, in tokens per second. */
  peerDemand: (organisation: string) => number;
}

/** Longest deadline that a caller may request. */
const MAX_DEADLINE_MS = 3_600_000;

const REBALANCE_INTERVAL_MS = 1_000;

interface TrackedLimit {
  limit: domain.request.limit.SharedLimit;
  rebalancedAt: number;
}

const PRIORITY_RANK: Record<domain.settings.document.Priority, number> = {
  high: 0,
  normal: 1,
  low: 2,
};

export function keyHash(key: string): string {
  return crypto.createHash('sha256').update(key).digest('hex');
}

export class Admission {
  directory = new domain.settings.directory.Directory([]);

  /** Estimates the tokens of a prompt from its length. */
  readonly estimator = new domain.request.tokens.Estimator();

  private readonly limits = new Map<string, TrackedLimit>();

  constructor(private readonly options: Options) {}

  tenant(key: string): Result<Tenant, errors.RequestError> {
    const found = key === '' ? Option.none : this.directory.tenant(keyHash(key));
    if (Option.isSome(found)) return Ok(found.value);
    return Err(errors.notRun('unauthorized', 'give the bearer key of your organisation'));
  }

  model(tenant: Tenant, name: string): Result<domain.settings.document.Model, errors.RequestError> {
    const found = this.directory.model(tenant, name);
    if (Option.isSome(found)) return Ok(found.value);
    return Err(errors.notRun('notFound', `no model ${name} for this organisation`));
  }

  service(
    tenant: Tenant,
    name: string,
  ): Result<domain.settings.document.Service, errors.RequestError> {
    const found = this.directory.service(tenant, name);
    if (Option.isSome(found)) return Ok(found.value);
    return Err(errors.notRun('notFound', `no service ${name} for this organisation`));
  }

  /** The absolute deadline, from the caller's header in milliseconds or else the organisation's setting. */
  deadline({ organisation }: Tenant, requested: string): Result<number, errors.RequestError> {
    const now = this.options.now();
    if (requested === '') return Ok(now + organisation.deadlineSeconds * 1_000);
    const ms = Number(requested);
    if (ms > 0 && ms <= MAX_DEADLINE_MS) return Ok(now + ms);
    const message = `x-deadline-ms: give milliseconds up to ${MAX_DEADLINE_MS}`;
    return Err(errors.notRun('badRequest', message));
  }

  /** The priority of a request; a caller may lower its organisation's priority but not raise it. */
  priority(
    { organisation }: Tenant,
    requested: string,
  ): Result<domain.settings.document.Priority, errors.RequestError> {
    const ownPriority = organisation.priority;
    if (requested === '') return Ok(ownPriority);
    if (!(requested in PRIORITY_RANK)) {
      return Err(errors.notRun('badRequest', 'x-priority: give high, normal or low'));
    }
    const requestedPriority = requested as domain.settings.document.Priority;
    return Ok(
      PRIORITY_RANK[requestedPriority] < PRIORITY_RANK[ownPriority]
        ? ownPriority
        : requestedPriority,
    );
  }

  /** Charges the tokens to the organisation's rate limit. */
  charge({ team, organisation }: Tenant, tokens: number): Result<void, errors.RequestError> {
    if (organisation.tokensPerSecond === 0) return Ok(undefined);
    const now = this.options.now();
    const limit = this.sharedLimit(
      `${team}/${organisation.name}`,
      organisation.tokensPerSecond,
      now,
    );
    const admission = limit.admit(tokens, now);
    if (admission.kind === 'admitted') return Ok(undefined);
    const message = `the limit of ${organisation.tokensPerSecond} tokens per second is used up`;
    return Err(errors.notRun('overLimit', message, admission.retryAfterMs));
  }

  /** Demand at this daemon by organisation with a limit, in tokens per second; sent to the peers. */
  demand(): Record<string, number> {
    const now = this.options.now();
    const rates = [...this.limits].map(([name, { limit }]): [string, number] => [
      name,
      domain.target.target.quantised(limit.demandRate(now)),
    ]);
    return Object.fromEntries(rates.filter(([, rate]) => rate > 0));
  }

  /** Hashes of the prompt's blocks, each chained to all blocks before it. */
  prefixKeys(prompt: string): number[] {
    const blockLength =
      domain.routing.prefixIndex.BLOCK_TOKENS * domain.request.tokens.INITIAL_BYTES_PER_TOKEN;
    const keys: number[] = [];
    let previous = 0;
    for (let end = blockLength; end <= prompt.length; end += blockLength) {
      previous = this.options.hash(`${previous}/${prompt.slice(end - blockLength, end)}`);
      keys.push(previous);
    }
    return keys;
  }

  private sharedLimit(name: string, rate: number, now: number): domain.request.limit.SharedLimit {
    const daemons = this.options.liveDaemonCount();
    const tracked = this.limits.get(name);
    if (tracked === undefined) {
      const limit = new domain.request.limit.SharedLimit(rate, daemons, now);
      this.limits.set(name, { limit, rebalancedAt: now });
      return limit;
    }
    if (now - tracked.rebalancedAt > REBALANCE_INTERVAL_MS) {
      tracked.rebalancedAt = now;
      tracked.limit.rebalance(rate, this.options.peerDemand(name), daemons, now);
    }
    return tracked.limit;
  }
}
