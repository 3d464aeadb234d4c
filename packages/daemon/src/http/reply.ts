/** JSON responses and errors in the format of OpenAI-compatible APIs. */
import type * as http from 'node:http';
import * as domain from '@celerydrift/domain';
import * as errors from '../requests/errors';
import type * as earlyResponse from './earlyResponse';

export const OUTCOME_HEADER = 'x-celerydrift-outcome';

const OUTCOME_HEADER_VALUES: Record<domain.request.outcome.Outcome, string> = {
  completed: 'completed',
  notRun: 'not-run',
  failed: 'failed',
  unknown: 'unknown',
};

const JSON_HEADERS = { 'content-type': 'application/json' };

export function json(
  response: http.ServerResponse,
  status: number,
  content: unknown,
  headers: Record<string, string> = {},
): void {
  if (response.headersSent || response.destroyed) return;
  response.writeHead(status, { ...JSON_HEADERS, ...headers });
  response.end(JSON.stringify(content));
}

export function outcomeHeader(outcome: domain.request.outcome.Outcome): Record<string, string> {
  return { [OUTCOME_HEADER]: OUTCOME_HEADER_VALUES[outcome] };
}

export function errorBody(requestError: errors.RequestError): unknown {
  const { kind, message, outcome } = requestError;
  return { error: { message, type: kind, code: kind, outcome: OUTCOME_HEADER_VALUES[outcome] } };
}

function errorHeaders({ outcome, retryAfterMs }: errors.RequestError): Record<string, string> {
  const headers = outcomeHeader(outcome);
  if (retryAfterMs > 0) headers['retry-after'] = String(Math.ceil(retryAfterMs / 1_000));
  return headers;
}

export function error(response: http.ServerResponse, requestError: errors.RequestError): void {
  const status = errors.STATUS_BY_KIND[requestError.kind];
  json(response, status, errorBody(requestError), errorHeaders(requestError));
}

/** The response that `error` sends. */
export function errorOf(requestError: errors.RequestError): earlyResponse.Content {
  return {
    status: errors.STATUS_BY_KIND[requestError.kind],
    headers: { ...JSON_HEADERS, ...errorHeaders(requestError) },
    content: JSON.stringify(errorBody(requestError)),
  };
}
