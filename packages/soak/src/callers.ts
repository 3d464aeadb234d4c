/** Sends callers' requests to entries, mostly over kept-alive connections, and records the exact outcome of each. */
import * as http from 'node:http';
import * as domain from '@celerydrift/domain';
import { counterpart } from '@celerydrift/platform';
import * as answers from './answers';
import * as awakeTime from './awakeTime';
import type * as fleet from './fleet';
import * as layout from './layout';
import type * as observations from './observations';

export const HOST = 'soak.example';

/** Timeout that callers state in their requests, milliseconds. */
export const CALLER_TIMEOUT_MS = { safe: 1_500, unsafe: 1_500, stream: 6_000 } as const;

/** A request without an outcome this long after the caller's timeout counts as hung. */
const HANG_GRACE_MS = 1_500;

/** A prompt of this size needs memory on several engines. */
const LARGE_PROMPT_TOKENS = 420_000;
const SMALL_PROMPT_TOKENS = 4_000;
const LARGE_PROMPT_SHARE = 0.05;

/** Share of requests that open a new connection instead of reusing one. */
const NEW_CONNECTION_SHARE = 0.2;

export interface CallerRequest {
  entry: fleet.Vm;
  kind: observations.RequestKind;
  path: string;
  key: string;
  body?: string;
  /** Shared parts of its prompt; those of an innocent stream by default. */
  parts?: readonly string[];
}

/**
 * Body of all requests that don't specify one. Callers with the same key therefore send identical requests, so that
 * most request fingerprints recur often.
 */
const DEFAULT_BODY = 'soak';

/** Different first parts of the prompts. */
const FIRST_PARTS = 4;

export class Callers {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });

  private readonly awake = new awakeTime.AwakeTime(Date.now);

  private count = 0;

  constructor(private readonly random: domain.shared.random.Random) {}

  async send({
    entry,
    kind,
    path,
    key,
    body = DEFAULT_BODY,
    parts = [this.firstPart()],
  }: CallerRequest): Promise<observations.RequestRecord> {
    this.count += 1;
    const request = `r${this.count}`;
    const sentAt = Date.now();
    const { incarnation } = entry.process;
    const outcome = await this.exchange(entry.host, request, { kind, path, key, body, parts });
    const endedAt = Date.now();
    return {
      request,
      kind,
      path,
      entry: entry.index,
      incarnation,
      key,
      sentAt,
      endedAt,
      ending: outcome,
    };
  }

  /** A first part that innocent streams and those with a crashing part share. */
  firstPart(): string {
    return `a${this.count % FIRST_PARTS}`;
  }

  close(): void {
    this.agent.destroy();
  }

  private exchange(
    host: string,
    requestId: string,
    { kind, path, key, body, parts }: Omit<Required<CallerRequest>, 'entry'>,
  ): Promise<observations.RequestOutcome> {
    const isLarge = kind === 'stream' && this.random.uniform() < LARGE_PROMPT_SHARE;
    const patienceMs = CALLER_TIMEOUT_MS[kind];
    const headers = counterpart.callerHeaders({
      requestId,
      key,
      patienceMs,
      promptTokens: isLarge ? LARGE_PROMPT_TOKENS : SMALL_PROMPT_TOKENS,
      answerTokens: answers.streamLength(requestId),
      ...(kind === 'stream' && { parts: [...parts, requestId.slice(1)] }),
    });
    const agent = this.random.uniform() < NEW_CONNECTION_SHARE ? false : this.agent;
    return new Promise((resolve) => {
      const request = http.request({
        host,
        port: layout.PORT.callers,
        path,
        method: 'POST',
        headers: { ...headers, host: HOST },
        agent,
      });
      const hangDeadlineMs = this.awake.ms + patienceMs + HANG_GRACE_MS;
      const checkHung = (): void => {
        const leftMs = hangDeadlineMs - this.awake.ms;
        if (leftMs > 0) {
          hangTimer = setTimeout(checkHung, leftMs);
          return;
        }
        resolve({ kind: 'hung' });
        request.destroy();
      };
      let hangTimer = setTimeout(checkHung, patienceMs + HANG_GRACE_MS);
      const settle = (outcome: observations.RequestOutcome): void => {
        clearTimeout(hangTimer);
        resolve(outcome);
      };
      let hasBegun = false;
      request.on('error', () => settle({ kind: 'broken', hasBegun }));
      request.on('response', (response) => {
        hasBegun = response.statusCode === 200;
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () => settle(outcomeOf(response, Buffer.concat(chunks))));
      });
      request.end(body);
    });
  }
}

function outcomeOf(response: http.IncomingMessage, body: Buffer): observations.RequestOutcome {
  if (!response.complete) return { kind: 'broken', hasBegun: response.statusCode === 200 };
  return {
    kind: 'answered',
    status: response.statusCode ?? 0,
    isSigned: counterpart.isSigned(response.headers),
    body: body.toString(),
  };
}
