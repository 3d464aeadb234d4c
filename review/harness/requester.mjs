/* eslint-disable */
/** A stand-in requester that keeps its channels open, and records each attempt and its answer. */
import * as http from 'node:http';
import * as timers from 'node:timers';

export const HOST = 'ficu95.example';

export class Requester {
  constructor(deployment, { key, events, prefix = 'r' }) {
    Object.assign(this, { deployment, key, events, prefix, count: 0 });
    this.agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });
  }

  /** Sends one attempt; resolves with the status, 0 without a whole answer. */
  send(
    entry,
    { path, method = 'POST', patienceMs = 1_000, body = 'x'.repeat(600), headers = {}, onHead },
  ) {
    this.count += 1;
    const id = `${this.prefix}${this.count.toString(16).padStart(8, '0')}`;
    this.events({ event: 'sent', request: id, entry: entry.name, path });
    return new Promise((resolve) => {
      const end = (status, text = '', stamp = undefined) => {
        timers.clearTimeout(timer);
        this.events({ event: 'answered', request: id, status });
        resolve({ id, status, body: text, stamp });
      };
      const request = http.request(
        {
          host: entry.ip,
          port: this.deployment.ports.front,
          path,
          method,
          agent: this.agent,
          headers: {
            host: HOST,
            'x-celerydrift-request-id': id,
            'x-celerydrift-deadline-ms': String(patienceMs),
            'x-api-key': this.key,
            ...headers,
          },
        },
        (response) => {
          onHead?.(response);
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('error', () => undefined);
          response.on('close', () =>
            end(
              response.complete ? response.statusCode : 0,
              Buffer.concat(chunks).toString(),
              response.headers['x-celerydrift-server-stamp'],
            ),
          );
        },
      );
      const timer = timers.setTimeout(() => request.destroy(), patienceMs + 1_000);
      request.on('error', () => end(0));
      request.end(method === 'GET' ? undefined : body);
    });
  }

  close() {
    this.agent.destroy();
  }
}
