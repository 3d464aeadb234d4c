/**
 * Sends commands to the leader of a log. Tries the last known leader, then the leader that a replica
 * names, then each replica in turn, until one executes the command or the wait limit is reached.
 */
import { Err, Ok, Result } from 'ts-results';
import type * as peerClient from '../rpc/peerClient';
import * as errors from './errors';
import type * as logServer from './logServer';

export interface CommandResult {
  index: number;
  answer: unknown;
}

const RETRY_PAUSE_MS = 100;

const CALL_TIMEOUT_MS = 6_000;

/**
 * Longer than one call, to leave time for finding the leader again; that takes less time than the leader
 * allows for a proposal.
 */
const DEFAULT_WAIT_LIMIT_MS = 8_000;

export class LogClient {
  private readonly leaders = new Map<string, string>();

  constructor(
    private readonly client: peerClient.PeerClient,
    private readonly replicas: () => string[],
    private readonly now: () => number,
  ) {}

  async execute(
    log: string,
    command: unknown,
    waitLimitMs: number = DEFAULT_WAIT_LIMIT_MS,
  ): Promise<Result<CommandResult, errors.ControlError>> {
    const deadline = this.now() + waitLimitMs;
    let mayHaveTakenEffect = false;
    let detail = 'no replica answered';
    while (this.now() < deadline) {
      for (const address of this.candidates(log)) {
        const timeoutMs = Math.max(200, Math.min(CALL_TIMEOUT_MS, deadline - this.now()));
        const response = await this.client.call<logServer.ExecuteResponse>(
          address,
          'execute',
          { log, command },
          { timeoutMs },
        );
        if (response.ok && response.val.kind === 'done') {
          this.leaders.set(log, address);
          return Ok({ index: response.val.index, answer: response.val.answer });
        }
        if (response.ok) {
          detail = (response.val as { reason: string }).reason;
          this.rememberLeader(log, (response.val as { leader: string }).leader);
          mayHaveTakenEffect ||= response.val.kind === 'unknown';
          if (detail === 'noMajorityOfDaemons') return Err({ kind: 'refused', detail });
        } else {
          detail = `${response.val.kind} ${response.val.detail}`;
          this.leaders.delete(log);
          mayHaveTakenEffect ||= response.val.mayHaveArrived;
        }
        if (this.now() >= deadline) break;
      }
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_PAUSE_MS);
      });
    }
    return Err({ kind: mayHaveTakenEffect ? 'outcomeUnknown' : 'noLeader', detail });
  }

  private rememberLeader(log: string, leader: string): void {
    if (leader === '') this.leaders.delete(log);
    else this.leaders.set(log, leader);
  }

  private candidates(log: string): string[] {
    const leader = this.leaders.get(log);
    const replicas = this.replicas();
    if (leader === undefined) return replicas;
    return [leader, ...replicas.filter((address) => address !== leader)];
  }
}
