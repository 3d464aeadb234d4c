/**
 * The answer that a caller gets, built from what one or several targets send. Nothing of a target's
 * answer goes on before it is known to belong to this request; of a stream only whole events do.
 */
import type * as http from 'node:http';
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import * as hopByHop from '../edges/hopByHop';
import type * as protocols from '../edges/protocols';
import type * as targetClient from './targetClient';

type Route = domain.catalogue.catalogue.Route;

/** Answers up to this size are held until they are whole, so that a broken one can be had elsewhere. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Status of a stream; other answers on its route are whole ones. */
const STREAM_STATUS = 200;

/** From this status on, an answer of a target's own doesn't show that it ran the request to its end. */
export const FAILURE_STATUS = 500;

/** Fewer pauses than this say nothing of a target's speed. */
const MIN_GAPS = 6;

export type CompletionResult =
  | { kind: 'passedOn' }
  /** The target says that it didn't run the request. */
  | { kind: 'notRun'; detail: string; isWrongLifetime: boolean; faulty: string | undefined }
  /** The answer isn't one that the caller may get. */
  | { kind: 'unusable'; detail: string };

export class CallerResponse implements targetClient.ResponseHandler {
  /** Id of the last event that the caller has. */
  lastEventId: string | undefined;

  /** When the first and the last event went on; 0 before the first. */
  firstEventAt = 0;

  lastEventAt = 0;

  /** The longest pause between two events, milliseconds. */
  maxGapMs = 0;

  /** Pauses between events of the present target, milliseconds. */
  private gaps: number[] = [];

  private head: targetClient.ResponseHead | undefined;

  private splitter = new domain.request.eventSplitter.EventSplitter();

  private buffered: Buffer[] = [];

  private bufferedBytes = 0;

  private attempt: targetClient.Attempt | undefined;

  /** Whether the caller already has the beginning of a stream, which only a stream can go on with. */
  private isContinuation = false;

  /** Whether a held answer has grown too long and goes on as it comes. */
  private isOverflowing = false;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly route: Route,
    private readonly caller: protocols.CallerFacts,
  ) {}

  /** Whether the caller has bytes that no other target can go on from. */
  get isUnrecoverable(): boolean {
    const { response, route, lastEventId } = this;
    const isStream = route.kind === 'streaming' && response.statusCode === STREAM_STATUS;
    return response.headersSent && !(isStream && lastEventId !== undefined);
  }

  beginAttempt(): void {
    this.isContinuation = this.response.headersSent;
    this.head = undefined;
    this.attempt = undefined;
    this.splitter = new domain.request.eventSplitter.EventSplitter();
    this.buffered = [];
    this.bufferedBytes = 0;
    this.gaps = [];
  }

  attach(attempt: targetClient.Attempt): void {
    this.attempt = attempt;
  }

  onHead(head: targetClient.ResponseHead): void {
    this.head = head;
  }

  onData(chunk: Buffer): void {
    if (this.isStream && this.isForCaller) this.forwardEvents(chunk);
    else this.buffer(chunk);
  }

  /** The target's answer is whole. With `mayRepeat` a failure of the target's own may be tried elsewhere. */
  complete(mayRepeat: boolean): CompletionResult {
    const { head } = this;
    if (head === undefined) {
      return { kind: 'unusable', detail: 'no answer' };
    }
    const { isNotRun, isWrongLifetime, faulty } = head.facts;
    if (isNotRun) {
      return { kind: 'notRun', detail: `target refused: ${head.status}`, isWrongLifetime, faulty };
    }
    if (!this.isForCaller) return { kind: 'unusable', detail: `unusable answer: ${head.status}` };
    if (mayRepeat && head.status >= FAILURE_STATUS) {
      return { kind: 'unusable', detail: `target failed: ${head.status}` };
    }
    if (this.isContinuation && !this.isStream) {
      return { kind: 'unusable', detail: `the stream can't go on with: ${head.status}` };
    }
    if (!this.isStream) return this.forwardBuffered(head);
    if (this.splitter.isInsideEvent)
      return { kind: 'unusable', detail: 'half an event at the end' };
    this.writeHead(head);
    this.response.end();
    return { kind: 'passedOn' };
  }

  /** An answer of our own; one that has begun is broken off, so that it can't be taken for whole. */
  refuse(status: number, retryAfterMs: number | undefined): void {
    if (this.response.headersSent) {
      this.response.destroy();
      return;
    }
    const headers: http.OutgoingHttpHeaders = { 'Content-Length': 0 };
    if (retryAfterMs !== undefined) headers['Retry-After'] = (retryAfterMs / 1_000).toFixed(2);
    this.response.writeHead(status, headers);
    this.response.end();
  }

  /** Status of the answer that the caller got or gets. */
  get status(): number {
    return this.response.statusCode;
  }

  private get isStream(): boolean {
    return this.route.kind === 'streaming' && this.head?.status === STREAM_STATUS;
  }

  /** Whether the head shows an answer of this target to this request. */
  private get isForCaller(): boolean {
    const { head, caller } = this;
    if (head === undefined || head.facts.isNotRun) return false;
    const { facts } = head;
    const isOurs = facts.requestId === caller.requestId;
    if (!isOurs || facts.isEncoded) return false;
    return facts.isSigned && !NOT_RUN_STATUSES.has(head.status);
  }

  private forwardEvents(chunk: Buffer): void {
    const { head } = this;
    const cut = this.splitter.push(chunk);
    if (head === undefined || cut.events === 0) return;
    this.writeHead(head);
    this.lastEventId = cut.lastId ?? this.lastEventId;
    this.recordEvent(clock.steady());
    this.write(cut.bytes);
  }

  private recordEvent(now: number): void {
    if (this.firstEventAt === 0) this.firstEventAt = now;
    else this.recordGap(now - this.lastEventAt);
    this.lastEventAt = now;
  }

  private recordGap(ms: number): void {
    this.maxGapMs = Math.max(this.maxGapMs, ms);
    this.gaps.push(ms);
  }

  /**
   * How long the present target's passes take where it reads nothing between them: the lower quartile, as
   * readings make some longer and a busy entry makes some look shorter. Undefined for few events.
   */
  get typicalGapMs(): number | undefined {
    if (this.gaps.length < MIN_GAPS) return undefined;
    return [...this.gaps].sort((a, b) => a - b)[Math.floor(this.gaps.length / 4)];
  }

  private buffer(chunk: Buffer): void {
    if (this.isOverflowing) {
      this.write(chunk);
      return;
    }
    this.buffered.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes <= MAX_BUFFERED_BYTES || this.head === undefined) return;
    if (!this.isForCaller || this.isContinuation) return;
    this.isOverflowing = true;
    this.writeHead(this.head);
    this.buffered.splice(0).forEach((each) => this.write(each));
  }

  private forwardBuffered(head: targetClient.ResponseHead): CompletionResult {
    this.writeHead(head);
    this.buffered.splice(0).forEach((each) => this.response.write(each));
    this.response.end();
    return { kind: 'passedOn' };
  }

  private write(bytes: Buffer): void {
    if (this.response.write(bytes)) return;
    this.attempt?.pause();
    this.response.once('drain', () => this.attempt?.resume());
  }

  private writeHead({ status, raw }: targetClient.ResponseHead): void {
    if (this.response.headersSent) return;
    const kept: string[] = [];
    // A stream may go on at another target, whose part the first one's length doesn't count.
    const isDropped = (name: string): boolean =>
      hopByHop.HOP_BY_HOP.has(name) || (this.isStream && name === 'content-length');
    for (let i = 0; i + 1 < raw.length; i += 2) {
      if (!isDropped(raw[i].toLowerCase())) kept.push(raw[i], raw[i + 1]);
    }
    this.response.writeHead(status, kept as unknown as http.OutgoingHttpHeaders);
  }
}

/** Statuses by which a target promises that it didn't run a request; without its own word they say nothing. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
