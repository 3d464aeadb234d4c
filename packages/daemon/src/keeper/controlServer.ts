/**
 * A keeper's HTTP server for targets and operators. Any keeper accepts any call and forwards it to the leader; it
 * answers 503 to what it can't settle, so that the caller turns to another keeper.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as codecs from '../configuration/codecs';
import type * as protocols from '../edges/protocols';
import type * as messages from '../fleet/messages';
import * as packedCatalogue from '../fleet/packedCatalogue';
import * as boundedJson from '../http/boundedJson';
import * as breakOff from '../http/breakOff';
import * as connectionLimit from '../http/connectionLimit';
import * as earlyResponse from '../http/earlyResponse';
import * as listening from '../http/listening';
import type * as heldBytes from '../http/heldBytes';
import * as openResponses from '../http/openResponses';
import * as pacedRequest from '../http/pacedRequest';
import * as requestBody from '../http/requestBody';
import * as serverStop from '../http/serverStop';
import * as turnedAwayClients from '../http/turnedAwayClients';
import type * as observer from '../observability/observer';
import type * as evacuationOrders from './evacuationOrders';
import * as ignoredAnnouncements from './ignoredAnnouncements';
import type * as leaderCalls from './leaderCalls';

type Announcement = domain.registry.registry.Announcement;

export interface Dependencies {
  protocol: protocols.ControlProtocol;
  observer: observer.Observer;
  /** Forwards an announcement; resolves with true once the leader has it. */
  announce: (record: Announcement) => Promise<boolean>;
  /** Forwards a target's departure, unless it is given up; resolves with true once the leader has it. */
  depart: (departed: leaderCalls.ReportedDeparture, isGivenUp: () => boolean) => Promise<boolean>;
  submit: (
    edition: domain.catalogue.newestCatalogue.PackedCatalogue,
  ) => Promise<messages.SubmitAnswer>;
  newest: () => Promise<messages.NewestAnswer>;
  orders: evacuationOrders.EvacuationOrders;
  evacuations: () => Promise<messages.EvacuationsAnswer>;
  held: Pick<heldBytes.HeldBytes, 'open'>;
  /** Unlimited if undefined. */
  maxConnections?: number;
}

/** Who sent a call about a target, and the id that it names. */
type Sender = Pick<ignoredAnnouncements.IgnoredAnnouncement, 'writer' | 'target'>;

interface Reply {
  status: number;
  body: Buffer | string;
  retryAfterS?: number;
}

/** Maximum size of a document of settings; 350 routes take some 100 KB. */
const MAX_SETTINGS_BYTES = 16 * 1024 * 1024;

/** Maximum size of the body of any other call; an announcement takes less than 1 KB. */
const MAX_BODY_BYTES = 64 * 1024;

/** How long a target or operator may keep an idle connection, in milliseconds. */
const KEEP_ALIVE_MS = 15_000;

const OPTIONS = { IncomingMessage: pacedRequest.PacedRequest, keepAliveTimeout: KEEP_ALIVE_MS };

/** Maximum time for which a stopping keeper sends answers, in milliseconds. */
const MAX_CLOSE_MS = 2_000;

/** Interval at which a stopping keeper closes idle connections, in milliseconds. */
const CLOSE_POLL_MS = 20;

/** A keeper finds a new leader within this time, in seconds. */
const RETRY_AFTER_S = 1;

/**
 * Time for the operating system to report that a caller has closed the connection, in milliseconds. A keeper that was
 * frozen reads calls that were given up long ago: an order among them would undo a later one, and a departure would end
 * a later lifetime.
 */
const CLOSED_CHECK_MS = 5;

/** How long the body of a call may take. */
const BODY_TIMES = { totalMs: 30_000, silentMs: 10_000 };

const TOO_LARGE: earlyResponse.Content = { status: 413, headers: {}, content: '' };

const TOO_SLOW: earlyResponse.Content = { status: 408, headers: {}, content: '' };

const OVERLOADED: earlyResponse.Content = {
  status: 503,
  headers: { 'Retry-After': String(RETRY_AFTER_S) },
  content: '',
};

const NOT_FOUND: Reply = { status: 404, body: '' };

const FAILED: Reply = { status: 500, body: '{"error":"unexpected error"}' };

const UNAVAILABLE: Reply = { status: 503, body: '{"error":"no leader is reachable"}' };

export class ControlServer {
  private readonly server: http.Server;

  private readonly responses = new openResponses.OpenResponses();

  private readonly serverStop: serverStop.ServerStop;

  private readonly connections: connectionLimit.ConnectionLimit;

  private readonly turnedAway: turnedAwayClients.TurnedAwayClients;

  private readonly ignored: ignoredAnnouncements.IgnoredAnnouncements;

  constructor(private readonly dependencies: Dependencies) {
    this.turnedAway = new turnedAwayClients.TurnedAwayClients('control', dependencies.observer);
    this.ignored = new ignoredAnnouncements.IgnoredAnnouncements({
      observer: dependencies.observer,
      now: clock.steady,
    });
    this.server = http.createServer(OPTIONS, (request, response) => {
      if (this.responses.isClosing(request.socket)) {
        request.resume();
        return;
      }
      if (!this.connections.began(request, response)) return;
      this.responses.began(request, response);
      this.serverStop.began(response);
      void this.serve(request, response);
    });
    this.serverStop = new serverStop.ServerStop(this.server);
    this.connections = new connectionLimit.ConnectionLimit(this.server, {
      maximum: dependencies.maxConnections ?? Infinity,
      isPlain: true,
      turnedAway: this.turnedAway,
      now: clock.steady,
    });
  }

  listen(address: codecs.Address): Promise<void> {
    return listening.listen(this.server, address, this.dependencies.observer);
  }

  get openConnections(): number {
    return this.connections.size;
  }

  /** Accepts no new connections; resolves when all calls are answered, or after a while. */
  async close(): Promise<void> {
    const givenUpAt = clock.steady() + MAX_CLOSE_MS;
    this.serverStop.stop();
    while (this.serverStop.unfinished.length > 0 && clock.steady() < givenUpAt) {
      await clock.sleep(CLOSE_POLL_MS);
      this.serverStop.closeIdle();
    }
  }

  /** Answers a call; an unexpected error must neither leave it without an answer nor end the process. */
  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    try {
      await this.answer(request, response);
    } catch (error) {
      const { method, url } = request;
      this.dependencies.observer.log('crashed', { method, path: url, error: String(error) });
      if (response.headersSent) breakOff.breakOff(response);
      else send(response, FAILED);
    }
  }

  private async answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const call = this.callOf(request);
    const maxBytes = call?.kind === 'submit' ? MAX_SETTINGS_BYTES : MAX_BODY_BYTES;
    const held = this.dependencies.held.open({
      request: '',
      unsentBytes: () => response.writableLength,
      cut: () => breakOff.breakOff(response),
    });
    response.once('close', () => held.close());
    const body = await requestBody.read(request, { maxBytes, times: BODY_TIMES, held });
    if (!Buffer.isBuffer(body)) {
      this.refuseWithoutBody(request, response, body, maxBytes);
      return;
    }
    if (this.connections.received(request, response))
      send(response, await this.reply(request, call, body));
  }

  private refuseWithoutBody(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    failure: requestBody.Failure,
    maxBytes: number,
  ): void {
    if (failure === 'broken') return;
    if (failure === 'tooLarge') {
      earlyResponse.send(request, response, TOO_LARGE, maxBytes);
      return;
    }
    this.turnedAway.add(failure);
    const isOverloaded = failure === 'memory';
    earlyResponse.send(request, response, isOverloaded ? OVERLOADED : TOO_SLOW, maxBytes);
  }

  private callOf(request: http.IncomingMessage): protocols.ControlCall | undefined {
    return this.dependencies.protocol.parseCall(request.method ?? '', pathOf(request));
  }

  private async reply(
    request: http.IncomingMessage,
    call: protocols.ControlCall | undefined,
    body: Buffer,
  ): Promise<Reply> {
    if (call === undefined) return NOT_FOUND;
    const path = pathOf(request);
    const writer = request.socket.remoteAddress ?? '';
    if (call.kind === 'unreadable') return this.ignore({ writer, target: path }, call.detail);
    if (call.kind === 'announce') return this.announce({ writer, target: call.id }, body);
    if (call.kind === 'depart') return this.depart({ writer, target: call.id }, request, body);
    if (call.kind === 'listEvacuations') return this.listEvacuations();
    if (call.kind === 'evacuate' || call.kind === 'endEvacuation') return this.order(call, request);
    return call.kind === 'submit' ? this.submit(body) : this.read();
  }

  private async order(
    { kind, dataCentre }: Pick<evacuationOrders.Order, 'kind' | 'dataCentre'>,
    { socket }: http.IncomingMessage,
  ): Promise<Reply> {
    const requestedBy = socket.remoteAddress ?? '';
    await clock.sleep(CLOSED_CHECK_MS);
    if (isClosed(socket)) return UNAVAILABLE;
    const isGivenUp = (): boolean => isClosed(socket);
    const order = { kind, dataCentre, requestedBy, isGivenUp };
    return replyTo(await this.dependencies.orders.handle(order));
  }

  private async listEvacuations(): Promise<Reply> {
    const { orders, evacuations } = this.dependencies;
    if (!orders.isEnabled) return NOT_FOUND;
    const answer = await evacuations();
    if (answer.kind === 'unavailable') return { ...UNAVAILABLE, retryAfterS: RETRY_AFTER_S };
    return { status: 200, body: JSON.stringify(answer.listing) };
  }

  private async announce(sender: Sender, body: Buffer): Promise<Reply> {
    const decoded = this.dependencies.protocol.parseAnnouncement(sender.target, body);
    if (decoded.err) return this.ignore(sender, decoded.val.detail);
    const problem = domain.registry.validity.problemOf(decoded.val);
    if (problem !== undefined) return this.ignore(sender, problem);
    return (await this.dependencies.announce(decoded.val))
      ? { status: 200, body: '{}' }
      : UNAVAILABLE;
  }

  private async depart(
    sender: Sender,
    { socket }: http.IncomingMessage,
    body: Buffer,
  ): Promise<Reply> {
    const { target: id } = sender;
    const bornAt = this.dependencies.protocol.parseDepartedLifetime(body);
    if (bornAt.err) return this.ignore(sender, bornAt.val.detail);
    const problem = domain.registry.validity.problemOfId(id);
    if (problem !== undefined) return this.ignore(sender, problem);
    await clock.sleep(CLOSED_CHECK_MS);
    return (await this.dependencies.depart({ id, bornAt: bornAt.val }, () => isClosed(socket)))
      ? { status: 200, body: '{}' }
      : UNAVAILABLE;
  }

  /** Refuses a call of a target that can't be used; it changes nothing that is known of any target. */
  private ignore(sender: Sender, reason: string): Reply {
    this.ignored.report({ ...sender, reason });
    return { status: 400, body: JSON.stringify({ error: reason }) };
  }

  private async submit(body: Buffer): Promise<Reply> {
    const excess = boundedJson.excessOf(body);
    if (excess !== undefined) return this.refuse(undefined, excess);
    const decoded = this.dependencies.protocol.parseCatalogue(body);
    if (decoded.err) return this.refuse(undefined, decoded.val.detail);
    const { version } = decoded.val;
    const [problem] = domain.catalogue.catalogue.problemsOf(decoded.val);
    if (problem !== undefined) return this.refuse(version, `${problem.fault}: ${problem.subject}`);
    const answer = await this.dependencies.submit(packedCatalogue.pack(version, body));
    if (answer.kind === 'unavailable') {
      this.dependencies.observer.log('catalogueUnsettled', { version, reason: answer.detail });
      return UNAVAILABLE;
    }
    this.dependencies.observer.log('catalogueAccepted', { version, inForce: answer.version });
    return { status: 200, body: JSON.stringify({ version: answer.version }) };
  }

  /** `version` is undefined for a document that can't be read. */
  private refuse(version: number | undefined, reason: string): Reply {
    this.dependencies.observer.log('catalogueRefused', { version, reason });
    return { status: 400, body: JSON.stringify({ error: reason }) };
  }

  private async read(): Promise<Reply> {
    const answer = await this.dependencies.newest();
    if (answer.kind === 'unavailable' || answer.edition === undefined) return UNAVAILABLE;
    const document = packedCatalogue.unpack(answer.edition);
    return document.ok ? { status: 200, body: document.val } : UNAVAILABLE;
  }
}

function send(response: http.ServerResponse, reply: Reply): void {
  if (response.destroyed) return;
  const { status, retryAfterS } = reply;
  const length = Buffer.byteLength(reply.body);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': length,
    ...(retryAfterS === undefined ? {} : { 'Retry-After': String(retryAfterS) }),
  });
  response.end(reply.body);
}

function replyTo(result: evacuationOrders.OrderResult): Reply {
  const error = (text: string, details: object = {}): string => {
    return JSON.stringify({ error: text, ...details });
  };
  switch (result.kind) {
    case 'disabled':
      return NOT_FOUND;
    case 'malformed':
      return { status: 400, body: error('malformed name of a data centre') };
    case 'unknown':
      return { status: 404, body: error('unknown data centre', { known: result.known }) };
    case 'unavailable':
      return { status: 503, body: error(result.reason), retryAfterS: RETRY_AFTER_S };
    default:
      return { status: 200, body: JSON.stringify({ revision: result.revision }) };
  }
}

function isClosed(socket: net.Socket): boolean {
  return socket.destroyed || socket.readableEnded;
}

function pathOf(request: http.IncomingMessage): string {
  return (request.url ?? '').split('?')[0];
}
