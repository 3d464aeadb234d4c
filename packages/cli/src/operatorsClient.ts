/** Calls to the operators' interface of any daemon; the next entry is tried when one is down. */
import { Err, Ok, Result } from 'ts-results';
import * as undici from 'undici';
import type * as errors from './errors';

export interface Answer {
  status: number;
  content: unknown;
}

const TIMEOUT_MS = 15_000;

export class OperatorsClient {
  constructor(
    private readonly entries: readonly string[],
    private readonly token: string,
  ) {}

  async call(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<Result<Answer, errors.CommandError>> {
    let detail = 'no entry given';
    for (const entry of this.entries) {
      try {
        const { statusCode, body: answer } = await undici.request(`${entry}/v1/${path}`, {
          method,
          headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/json' },
          body: body === undefined ? undefined : JSON.stringify(body),
          headersTimeout: TIMEOUT_MS,
          bodyTimeout: TIMEOUT_MS,
        });
        return Ok({ status: statusCode, content: await answer.json() });
      } catch (error) {
        detail = `${entry}: ${String(error)}`;
      }
    }
    return Err({ kind: 'unreachable', message: detail });
  }

  /** The content of a call that must succeed. */
  async get(path: string): Promise<Result<unknown, errors.CommandError>> {
    const answer = await this.call('GET', path);
    if (answer.err) return answer;
    return answer.val.status < 300 ? Ok(answer.val.content) : Err(refusal(answer.val));
  }
}

/** Turns an error answer into one of this layer. */
export function refusal({ status, content }: Answer): errors.CommandError {
  const { error } = content as { error?: { message?: string } };
  return { kind: 'refused', message: `${status}: ${error?.message ?? JSON.stringify(content)}` };
}
