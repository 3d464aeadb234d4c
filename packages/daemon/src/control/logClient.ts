/**
 * Sends commands to the leader of a log, wherever it is: the last one known, else whom a replica
 * names, else each replica in turn, until one answers or the time is over.
 */
import { Err, Ok, Result } from 'ts-results';
import type * as peerClient from '../rpc/peerClient';
import * as errors from './errors';
import type * as logServer from './logServer';

export interface Done {
  index: number;
  answer: unknown;
}

const ROUND_PAUSE_MS = 100;

const CALL_TIMEOUT_MS = 6_000;

/** A call that only finds the leader again is shorter than the leader's own time for a proposal. */
const DEFAULT_PATIENCE_MS = 8_000;

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
    patienceMs: number = DEFAULT_PATIENCE_MS,
  ): Promise<Result<Done, errors.ControlError>> {
    const until = this.now() + patienceMs;
    let sent = false;
    let detail = 'no replica answered';
    while (this.now() < until) {
      for (const address of this.candidates(log)) {
        const timeoutMs = Math.max(200, Math.min(CALL_TIMEOUT_MS, until - this.now()));
        const answer = await this.client.call<logServer.Executed>(
          address,
          'execute',
          { log, command },
          { timeoutMs },
        );
        if (answer.ok && answer.val.kind === 'done') {
          this.leaders.set(log, address);
          return Ok({ index: answer.val.index, answer: answer.val.answer });
        }
        if (answer.ok) {
          detail = (answer.val as { reason: string }).reason;
          this.follow(log, (answer.val as { leader: string }).leader);
          sent ||= answer.val.kind === 'unknown';
          if (detail === 'noMajorityOfDaemons') return Err({ kind: 'refused', detail });
        } else {
          detail = `${answer.val.kind} ${answer.val.detail}`;
          this.leaders.delete(log);
          sent ||= answer.val.kind !== 'unreachable' || detail.includes('closed');
        }
        if (this.now() >= until) break;
      }
      await new Promise((resolve) => {
        setTimeout(resolve, ROUND_PAUSE_MS);
      });
    }
    return Err({ kind: sent ? 'outcomeUnknown' : 'noLeader', detail });
  }

  private follow(log: string, leader: string): void {
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
