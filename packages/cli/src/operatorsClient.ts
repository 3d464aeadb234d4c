/** Client of the operators API, with failover: if a daemon is unreachable, the next URL is tried. */
import { Err, Ok, Result } from 'ts-results';
import * as undici from 'undici';
import type * as errors from './errors';

export interface ApiResponse {
  status: number;
  content: unknown;
}

const REQUEST_TIMEOUT_MS = 15_000;

export class OperatorsClient {
  constructor(
    private readonly entries: readonly string[],
    private readonly token: string,
  ) {}

  async call(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<Result<ApiResponse, errors.CommandError>> {
    let lastError = 'no entry URL given';
    for (const entry of this.entries) {
      try {
        const { statusCode, body: responseBody } = await undici.request(`${entry}/v1/${path}`, {
          method,
          headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/json' },
          body: body === undefined ? undefined : JSON.stringify(body),
          headersTimeout: REQUEST_TIMEOUT_MS,
          bodyTimeout: REQUEST_TIMEOUT_MS,
        });
        return Ok({ status: statusCode, content: await responseBody.json() });
      } catch (error) {
        lastError = `${entry}: ${String(error)}`;
      }
    }
    return Err({ kind: 'unreachable', message: lastError });
  }

  /** Sends a GET request; a status of 300 or more becomes an error. */
  async get(path: string): Promise<Result<unknown, errors.CommandError>> {
    const response = await this.call('GET', path);
    if (response.err) return response;
    return response.val.status < 300 ? Ok(response.val.content) : Err(toCommandError(response.val));
  }
}

/** Converts an error response to a command error. */
export function toCommandError({ status, content }: ApiResponse): errors.CommandError {
  const { error } = content as { error?: { message?: string } };
  return { kind: 'refused', message: `${status}: ${error?.message ?? JSON.stringify(content)}` };
}
