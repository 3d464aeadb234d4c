/**
 * Reserves memory on several engines for one long prompt. All or none, in the order of the engines' names:
 * after a refusal everything is released before the next attempt, so daemons never deadlock on each other.
 */
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import type * as adapter from '../targets/adapter';
import type * as leaseLoop from './leaseLoop';

type Target = domain.target.target.Target;
type Part = domain.memory.gathering.MemoryPart;

export interface Options {
  adapter: adapter.EngineAdapter;
  leaseLoop: leaseLoop.LeaseLoop;
  random: domain.shared.random.Random;
  owner: () => domain.memory.leasedResources.Owner;
  /** Engines that may lend memory. */
  engines: () => Target[];
  /** Estimated free memory of an engine, in tokens. */
  freeTokens: (name: string) => number;
  now: () => number;
}

/** Why memory could not be gathered. */
export type GatherError = 'tooLong' | 'deadline' | 'stopped';

/** Memory of other engines, reserved under ids that begin with `tag`. */
export interface Gathered {
  tag: string;
  parts: Part[];
}

const RETRY_DELAY_MS = { min: 50, max: 500 };

export class Gatherer {
  private tagCount = 0;

  constructor(private readonly options: Options) {}

  /** Whether the engines together have enough memory for so many tokens when all of it is free. */
  canHold(tokens: number): boolean {
    const engines = this.options.engines();
    const [primary, ...others] = [...engines].sort((a, b) => b.memoryTokens - a.memoryTokens);
    if (primary === undefined) return false;
    return this.plan(tokens, primary, others) !== undefined;
  }

  /** Reserves what the request needs beyond the primary engine's share; retries until the deadline. */
  async gather(
    id: string,
    request: domain.routing.dispatcher.Request,
    primary: Target,
    signal: AbortSignal,
  ): Promise<Result<Gathered, GatherError>> {
    const tokens = request.promptTokens + request.answerTokens;
    const primaryShare = domain.routing.dispatcher.MAX_PRIMARY_MEMORY_FRACTION;
    if (tokens <= Math.floor(primary.memoryTokens * primaryShare))
      return Ok({ tag: id, parts: [] });
    const { now, random } = this.options;
    while (!signal.aborted && now() < request.deadline) {
      const others = this.options.engines().filter(({ name }) => name !== primary.name);
      const parts = this.plan(tokens, primary, others);
      if (parts === undefined) return Err('tooLong');
      const gathered = { tag: this.newTag(id), parts };
      if (await this.reserveAll(gathered)) return Ok(gathered);
      const delayMs =
        RETRY_DELAY_MS.min + random.uniform() * (RETRY_DELAY_MS.max - RETRY_DELAY_MS.min);
      await new Promise((resolve) => {
        setTimeout(resolve, delayMs);
      });
    }
    return Err(signal.aborted ? 'stopped' : 'deadline');
  }

  /** Releases all reservations of a gathering. */
  release({ tag, parts }: Gathered): void {
    parts.forEach(({ target }) => {
      this.options.leaseLoop.release(target, this.reservationId(tag, target));
    });
  }

  /**
   * Returns a tag with new reservation ids for each attempt. With reused ids, a late release of the former
   * attempt would free the reservation of the next one, and its confirmation would make this daemon forget
   * a reservation that it still has.
   */
  private newTag(id: string): string {
    this.tagCount += 1;
    return `${id}~${this.tagCount}`;
  }

  private plan(tokens: number, primary: Target, others: readonly Target[]): Part[] | undefined {
    return domain.memory.gathering.plan(tokens, primary, others, this.options.freeTokens);
  }

  private reservationId(tag: string, target: string): string {
    return `${tag}@${target}`;
  }

  private async reserveAll({ tag, parts }: Gathered): Promise<boolean> {
    for (const [position, part] of parts.entries()) {
      if (!(await this.reserve(tag, part))) {
        // Includes the failed one: it may have been granted and only its answer lost.
        this.release({ tag, parts: parts.slice(0, position + 1) });
        return false;
      }
    }
    return true;
  }

  private async reserve(tag: string, { target: name, tokens }: Part): Promise<boolean> {
    const { leaseLoop: holdings, adapter: engine, owner } = this.options;
    const target = this.options.engines().find((each) => each.name === name);
    if (target === undefined) return false;
    const reservation = this.reservationId(tag, name);
    holdings.addLease(target, reservation, 'reservation');
    const leaseMs = domain.memory.leasedResources.LEASE_MS;
    const request = { id: reservation, owner: owner(), tokens, leaseMs };
    const reserved = await engine.reserve(target, request);
    return reserved.ok && reserved.val;
  }
}
