/**
 * A stand-in target in a process of its own: an engine or a plain service. It reports on standard output each request
 * that it runs, before it responds, and the acknowledgement of its draining announcement. Its responses follow from
 * the request id, so that callers can verify that they got their own response and all of it.
 */
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as domain from '@celerydrift/domain';
import { counterpart } from '@celerydrift/platform';
import * as answers from './answers';
import * as controlClient from './controlClient';
import * as endlessAnswers from './endlessAnswers';
import * as lateCopies from './lateCopies';
import type * as observations from './observations';

/**
 * Behaviour of a target; all modes but `sound` are gray failures: the target answers 500 (`failing`) or never (`mute`),
 * truncates responses (`cutting`), puts the id of another request into them (`crossed`), or sends a second response
 * after them that nobody requested (`extra`).
 */
export type Mode = 'sound' | 'failing' | 'mute' | 'cutting' | 'crossed' | 'extra';

export interface Options {
  id: string;
  service: string;
  dataCentre: string;
  host: string;
  port: number;
  /** Announced HOST:PORT. */
  address: string;
  slots: number;
  /** Memory in tokens; 0 for a plain service. */
  memoryTokens: number;
  /** Control addresses of keepers. */
  keepers: string[];
  /** File that contains the current `Mode`. */
  modeFile: string;
  /** File that contains the current `SelfReport`. */
  wordsFile: string;
}

/** What the responses of a target report about it. */
export interface SelfReport {
  /** Accepted requests per second; undefined while it reports no limit. */
  limit?: number;
  /** `Retry-After` of rejected requests, seconds; undefined while it rejects none. */
  backOffSeconds?: number;
  /** Whether responses report that it is draining, although its announcements say `ready`. */
  isLeaving?: boolean;
  /** Whether it refuses a part of the requests as if it were full, and sends a part of its answers a second time, late. */
  repeatsAnswers?: boolean;
  /** Form of the answers without an end that a part of the requests gets. */
  endless?: endlessAnswers.Form;
}

/** A message that the target received, or a report in its response; `source` is the sender's IP address. */
export type ExchangeLine = Omit<observations.TargetExchange, 'entry'> & {
  kind: 'got' | 'told' | 'saidLeaving' | 'turnedAway';
  source: string;
};

/** A line on standard output. */
export type OutputLine =
  | ExchangeLine
  | (observations.Execution & { kind: 'ran'; organisation: string })
  | (observations.Execution & { kind: 'refused' })
  | (observations.SentCopy & { kind: 'copied' })
  | { kind: 'draining'; target: string; at: number }
  /** The target is about to crash because of this body, or this part of a prompt. */
  | { kind: 'crashed'; target: string; cause: string; at: number };

const ANNOUNCE_INTERVAL_MS = 500;
/** How long a draining target serves after the acknowledgement. */
const DRAIN_DELAY_MS = 3_000;
const RESPONSE_DELAY_MS = 20;
const EVENT_INTERVAL_MS = 30;
/** Share of requests that a target rejects while it requests back-off. */
const REJECTED_SHARE = 0.5;
/** Share of requests that a target refuses while it repeats answers, and the statuses of that. */
const REFUSED_SHARE = 0.5;
const REFUSAL_STATUSES = [503, 429] as const;
/** Share of requests that get an answer without an end. */
const ENDLESS_SHARE = 0.1;
/** How long a crashing request runs before the target crashes. */
const CRASH_DELAY_MS = 20;

class StandInTarget {
  private state: 'ready' | 'draining' = 'ready';

  private sequence = 0;

  private readonly bornAt = Date.now();

  private running = 0;

  private readonly copies = new lateCopies.LateCopies();

  private readonly reservations = new Map<string, { tokens: number; expiresAt: number }>();

  constructor(private readonly options: Options) {}

  start(): void {
    const server = http.createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => this.serve(request, response, Buffer.concat(chunks).toString()));
      response.on('error', () => undefined);
    });
    server.listen(this.options.port, this.options.host);
    const announce = (): void => {
      void this.announce();
    };
    setInterval(announce, ANNOUNCE_INTERVAL_MS);
    announce();
    process.on('SIGTERM', () => {
      void this.drain();
    });
  }

  private serve(request: http.IncomingMessage, response: http.ServerResponse, body: string): void {
    const path = request.url ?? '';
    if (path === answers.STATE_PATH) {
      this.expire();
      response.end(JSON.stringify({ reservations: this.reservations.size }));
      return;
    }
    this.reportExchange('got', request);
    this.copies.messageArrived(request.socket, (form) => {
      const { requestId } = counterpart.parseRequest(request.headers);
      const isDue = !response.writableEnded;
      printLine({ kind: 'copied', form, request: isDue ? requestId : undefined, at: Date.now() });
    });
    const order = counterpart.memoryOrder(path, body);
    if (order !== undefined) {
      response.writeHead(this.applyMemoryOrder(order)).end('{"free":0}');
      return;
    }
    this.run(request, response, path, body);
  }

  private applyMemoryOrder(order: counterpart.MemoryOrder): number {
    if (order.kind === 'release') {
      this.reservations.delete(order.reservation);
      return 200;
    }
    this.expire();
    const others = [...this.reservations].filter(([id]) => id !== order.reservation);
    const used = others.reduce((sum, [, { tokens }]) => sum + tokens, 0);
    if (used + order.tokens > this.options.memoryTokens) return 409;
    const expiresAt = performance.now() + order.holdMs;
    this.reservations.set(order.reservation, { tokens: order.tokens, expiresAt });
    return 200;
  }

  private expire(): void {
    this.reservations.forEach(({ expiresAt }, id) => {
      if (expiresAt < performance.now()) this.reservations.delete(id);
    });
  }

  private run(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    path: string,
    body: string,
  ): void {
    const {
      requestId,
      target,
      organisation = '',
      resumeAfter,
    } = counterpart.parseRequest(request.headers);
    const { id, slots } = this.options;
    if (target !== id) {
      // Not recorded as reported: an entry takes no report from a lifetime that it didn't address.
      const { limit, isLeaving } = this.selfReport();
      this.refuse(response, 421, { target: id, limit, isLeaving, requestId });
      return;
    }
    const { socket } = request;
    const { backOffSeconds, repeatsAnswers = false, endless } = this.selfReport();
    if (this.running >= slots || (repeatsAnswers && Math.random() < REFUSED_SHARE)) {
      const status = domain.shared.random.pick({ uniform: Math.random }, REFUSAL_STATUSES);
      const refusal = { ...this.selfReportFields(request), requestId };
      const headers = this.refuse(response, status, refusal);
      if (repeatsAnswers) this.copies.answered(socket, { requestId, status, headers, body: '' });
      return;
    }
    if (backOffSeconds !== undefined && Math.random() < REJECTED_SHARE) {
      this.reportExchange('turnedAway', request, { backOffSeconds, rejected: requestId });
      this.refuse(response, 503, { ...this.selfReportFields(request), requestId, backOffSeconds });
      return;
    }
    const { bornAt } = this;
    printLine({
      kind: 'ran',
      request: requestId,
      target: id,
      bornAt,
      organisation,
      at: Date.now(),
    });
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
    });
    const part = counterpart
      .partsOf(request.headers)
      .find((each) => each.startsWith(answers.CRASHING_PART));
    const cause = body.startsWith(answers.CRASH_MARKER) ? body : part;
    if (cause !== undefined) {
      setTimeout(() => this.crash(cause), CRASH_DELAY_MS);
      return;
    }
    if (endless !== undefined && Math.random() < ENDLESS_SHARE) {
      const [name, value] = counterpart.answerHeaders({ requestId, target: id });
      endlessAnswers.send(socket, endless, [name, value]);
      return;
    }
    const mode = this.mode();
    if (mode === 'mute') return;
    const responseId = mode === 'crossed' ? `${requestId}x` : requestId;
    const headers = counterpart.answerHeaders({
      ...this.selfReportFields(request),
      requestId: responseId,
    });
    if (mode === 'failing') {
      response.writeHead(500, headers).end('failed');
      return;
    }
    const isStream = path.includes(answers.STREAM_MARKER);
    const responseBody = isStream
      ? answers.streamBody(responseId)
      : answers.callBody(responseId, path);
    if (repeatsAnswers && mode === 'sound') {
      const answer = { requestId, status: 200, headers, body: responseBody };
      response.once('finish', () => this.copies.answered(socket, answer));
    }
    if (isStream) this.sendStream(response, headers, responseId, resumeAfter, mode === 'cutting');
    else this.sendResponse(response, headers, responseBody, mode);
  }

  /** Refuses a request as not run; returns the headers. */
  private refuse(
    response: http.ServerResponse,
    status: number,
    refusal: Omit<counterpart.TargetAnswer, 'notRun'>,
  ): string[] {
    const { requestId, target } = refusal;
    printLine({ kind: 'refused', request: requestId, target, at: Date.now() });
    const headers = counterpart.answerHeaders({ ...refusal, notRun: true });
    response.writeHead(status, headers).end();
    return headers;
  }

  /** Response fields that report the target's state, also reported on standard output. */
  private selfReportFields(
    request: http.IncomingMessage,
  ): Pick<counterpart.TargetAnswer, 'target' | 'limit' | 'isLeaving'> {
    const target = this.options.id;
    const { limit, isLeaving } = this.selfReport();
    // An answer that follows a copy isn't passed on, and an entry owes a limit or a departure only to those that are.
    if (this.copies.isMisaligned(request.socket)) return { target, limit, isLeaving };
    if (limit !== undefined) this.reportExchange('told', request);
    if (isLeaving === true) this.reportExchange('saidLeaving', request);
    return { target, limit, isLeaving };
  }

  private selfReport(): SelfReport {
    return JSON.parse(this.read(this.options.wordsFile) || '{}') as SelfReport;
  }

  private reportExchange(
    kind: ExchangeLine['kind'],
    request: http.IncomingMessage,
    rejection: Pick<observations.TargetExchange, 'backOffSeconds' | 'rejected'> = {},
  ): void {
    const { socket } = request;
    const exchange = { target: this.options.id, bornAt: this.bornAt, at: Date.now() };
    printLine({ kind, ...exchange, source: socket.remoteAddress ?? '', ...rejection });
  }

  private crash(cause: string): void {
    printLine({ kind: 'crashed', target: this.options.id, cause, at: Date.now() });
    process.kill(process.pid, 'SIGKILL');
  }

  private sendResponse(
    response: http.ServerResponse,
    headers: string[],
    body: string,
    mode: Mode,
  ): void {
    setTimeout(() => {
      response.writeHead(200, [...headers, 'content-length', String(body.length)]);
      if (mode === 'cutting') {
        response.write(body.slice(0, body.length / 2));
        setTimeout(() => response.destroy(), 1);
        return;
      }
      const { socket } = response;
      response.end(body, () => {
        if (mode === 'extra') socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno');
      });
    }, RESPONSE_DELAY_MS);
  }

  private sendStream(
    response: http.ServerResponse,
    headers: string[],
    requestId: string,
    resumeAfter: number,
    isCut: boolean,
  ): void {
    response.writeHead(200, [...headers, 'content-type', 'text/event-stream']);
    let next = resumeAfter + 1;
    const timer = setInterval(() => {
      const event = answers.streamEvent(requestId, next);
      if (isCut && next === 3) {
        response.write(event.slice(0, 5));
        setTimeout(() => response.destroy(), 1);
        return;
      }
      response.write(event);
      next += 1;
      if (next > answers.streamLength(requestId)) response.end();
    }, EVENT_INTERVAL_MS);
    response.once('close', () => clearInterval(timer));
  }

  private mode(): Mode {
    return (this.read(this.options.modeFile) || 'sound') as Mode;
  }

  /** Content of a file; empty if it doesn't exist. */
  private read(file: string): string {
    try {
      return fs.readFileSync(file, 'utf8');
    } catch {
      return '';
    }
  }

  private async announce(): Promise<boolean> {
    this.sequence += 1;
    const { id, service, address, dataCentre, slots } = this.options;
    const { state, sequence, bornAt } = this;
    const description = { id, bornAt, service, address, dataCentre, slots };
    return this.callKeepers(counterpart.announce({ ...description, state, sequence }));
  }

  /** Sends a call to the keepers in turn until one acknowledges it. */
  private async callKeepers(call: counterpart.ControlCall): Promise<boolean> {
    const { keepers } = this.options;
    const first = Math.floor(Math.random() * keepers.length);
    for (let i = 0; i < keepers.length; i++) {
      const keeper = keepers[(first + i) % keepers.length];
      const { status } = await controlClient.call(keeper, call);
      if (status >= 200 && status < 300) return true;
    }
    return false;
  }

  private async drain(): Promise<void> {
    this.state = 'draining';
    const { id } = this.options;
    const { bornAt } = this;
    if (await this.announce()) printLine({ kind: 'draining', target: id, at: Date.now() });
    setTimeout(() => {
      void this.callKeepers(counterpart.depart({ id, bornAt })).then(() => process.exit(0));
    }, DRAIN_DELAY_MS);
  }
}

/** Standard output is a pipe, which Node.js writes synchronously, so lines written before a kill aren't lost. */
function printLine(line: OutputLine): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

new StandInTarget(JSON.parse(process.argv[2]) as Options).start();
