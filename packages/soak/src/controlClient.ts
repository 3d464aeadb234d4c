/** Sends one control call of a target or the operator to one keeper. */
import * as http from 'node:http';
import type { counterpart } from '@celerydrift/platform';

/** Response of a keeper; status 0 if no complete one arrived within the timeout. */
export interface ControlAnswer {
  status: number;
  body: string;
}

const TIMEOUT_MS = 1_000;

export function call(
  keeper: string,
  { method, path, body }: counterpart.ControlCall,
): Promise<ControlAnswer> {
  const [host, port] = keeper.split(':');
  return new Promise((resolve) => {
    const resolveUnanswered = (): void => resolve({ status: 0, body: '' });
    const request = http.request({ host, port, method, path, agent: false }, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', resolveUnanswered);
      response.on('end', () => {
        resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString() });
      });
    });
    request.setTimeout(TIMEOUT_MS, () => request.destroy());
    request.on('error', resolveUnanswered);
    request.end(body);
  });
}
