/** JSON responses and errors in the format of OpenAI-compatible APIs. */
import type * as http from 'node:http';
import * as domain from '@celerydrift/domain';
import * as errors from '../requests/errors';

export const OUTCOME_HEADER = 'x-celerydrift-outcome';

const OUTCOME_HEADER_VALUES: Record<domain.request.outcome.Outcome, string> = {
  completed: 'completed',
  notRun: 'not-run',
  failed: 'failed',
  unknown: 'unknown',
};

export function json(
  response: http.ServerResponse,
  status: number,
  content: unknown,
  headers: Record<string, string> = {},
): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(JSON.stringify(content));
}

export function outcomeHeader(outcome: domain.request.outcome.Outcome): Record<string, string> {
  return { [OUTCOME_HEADER]: OUTCOME_HEADER_VALUES[outcome] };
}

export function errorBody(requestError: errors.RequestError): unknown {
  const { kind, message, outcome } = requestError;
  return { error: { message, type: kind, code: kind, outcome: OUTCOME_HEADER_VALUES[outcome] } };
}

export function error(response: http.ServerResponse, requestError: errors.RequestError): void {
  const headers = outcomeHeader(requestError.outcome);
  if (requestError.retryAfterMs > 0) {
    headers['retry-after'] = String(Math.ceil(requestError.retryAfterMs / 1_000));
  }
  json(response, errors.STATUS_BY_KIND[requestError.kind], errorBody(requestError), headers);
}
