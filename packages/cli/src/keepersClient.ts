/**
 * Client of the control addresses of keepers. Any keeper takes any call; one without a definite answer, or with 503, is
 * sent again to the next keeper.
 */
import { Err, Ok, Result } from 'ts-results';
import * as undici from 'undici';
import type * as errors from './errors';

/** A definite answer: its status and its content, undefined if that isn't JSON. */
export interface KeeperAnswer {
  status: number;
  content: unknown;
}

/** Time for which a call is sent again, in milliseconds. */
const RETRY_MS = 5_000;

const RETRY_INTERVAL_MS = 200;

/** Maximum wait for one keeper, in milliseconds; longer than a keeper waits for the leader. */
const ANSWER_TIMEOUT_MS = 1_500;

const NO_LEADER_STATUS = 503;

export class KeepersClient {
  /** `keepers` are control addresses as HOST:PORT. */
  constructor(private readonly keepers: readonly string[]) {}

  async call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
  ): Promise<Result<KeeperAnswer, errors.CommandError>> {
    const deadline = Date.now() + RETRY_MS;
    for (let attempt = 0; ; attempt++) {
      const keeper = this.keepers[attempt % this.keepers.length];
      const answer = await attemptCall(method, `http://${keeper}${path}`);
      if (answer.ok && answer.val.status !== NO_LEADER_STATUS) return answer;
      if (Date.now() > deadline) return Err({ kind: 'unreachable', message: reasonOf(answer) });
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_INTERVAL_MS);
      });
    }
  }
}

async function attemptCall(
  method: 'GET' | 'POST' | 'DELETE',
  url: string,
): Promise<Result<KeeperAnswer, string>> {
  try {
    const { statusCode, body } = await undici.request(url, {
      method,
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    });
    return Ok({ status: statusCode, content: parse(await body.text()) });
  } catch (error) {
    return Err(`${url}: ${String(error)}`);
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function reasonOf(answer: Result<KeeperAnswer, string>): string {
  const last = answer.err ? answer.val : `503: ${JSON.stringify(answer.val.content)}`;
  return `no definite answer within ${RETRY_MS / 1_000} s, so an order may have been taken; last: ${last}`;
}
