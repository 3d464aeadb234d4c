/**
 * The response to a caller, assembled from the responses of one or several targets. Nothing is forwarded before the
 * response is known to belong to this request, and only whole events of a stream are.
 */
import type * as http from 'node:http';
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import * as hopByHop from '../edges/hopByHop';
import type * as protocols from '../edges/protocols';
import * as breakOff from '../http/breakOff';
import * as coalescedParts from '../http/coalescedParts';
import * as compactBytes from '../http/compactBytes';
import type * as heldBytes from '../http/heldBytes';
import type * as notRunGuarantee from './notRunGuarantee';
import * as responseOrigin from './responseOrigin';
import type * as targetAttempt from './targetAttempt';
import type * as targetMessage from './targetMessage';

type Route = domain.catalogue.catalogue.Route;

/** Responses up to this size are buffered until complete, so that a broken one can be retried at another target. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** The same under memory pressure: most responses of calls are shorter, and can still be retried. */
const MAX_PRESSED_BYTES = 65_536;

/** Maximum size of the body of a response that isn't passed on; longer ones end the attempt. */
const MAX_DISCARDED_BYTES = 65_536;

/** How long a response that isn't passed on may take to end, so that its connection can be used again, milliseconds. */
const MAX_DISCARD_MS = 250;

/** Maximum size of an event of a stream. */
const MAX_EVENT_BYTES = 1_048_576;

/** Status of a stream; responses with another status on a streaming route are buffered. */
const STREAM_STATUS = 200;

/** From this status on, a target's own response doesn't show that it completed the request. */
export const FAILURE_STATUS = 500;

/** HTTP defines no status above it, so a response with one isn't passed on. */
const MAX_STATUS = 599;

/** Status of the entry's own refusals, which guarantees that the request did not run and never will. */
export const NOT_RUN_STATUS = 503;

/** Statuses of the entry's own failures, which guarantee nothing. */
export type FailureStatus = 502 | 504;

/** Targets cut a response that isn't read for some seconds; the shortest such time, milliseconds. */
const UNREAD_CUT_MS = 2_000;

/** Minimum number of inter-token gaps from which a target's speed is derived. */
const MIN_GAPS = 6;

export type CompletionResult =
  | { kind: 'passedOn' }
  /** The target states that it didn't run the request. */
  | { kind: 'notRun'; detail: string; isWrongLifetime: boolean; faulty: string | undefined }
  /** The response must not be forwarded to the caller. */
  | { kind: 'unusable'; detail: string };

export class CallerResponse implements targetMessage.ResponseHandler {
  /** Id of the last event that was forwarded to the caller. */
  lastEventId: string | undefined;

  /** Whether an event of the current attempt was forwarded. */
  hasBegun = false;

  /** When the first event was forwarded; 0 before. */
  firstEventAt = 0;

  /** When the last event was forwarded; 0 before the first. */
  lastEventAt = 0;

  /** Longest gap between two events, milliseconds, also across targets. */
  maxGapMs = 0;

  /** Inter-token gaps of the current target, milliseconds. */
  private gaps: number[] = [];

  private onBegin: () => void = () => undefined;

  private head: targetMessage.ResponseHead | undefined;

  private splitter = new domain.request.eventSplitter.EventSplitter();

  private readonly buffered = new compactBytes.CompactBytes();

  /** Bytes of a body that isn't passed on. */
  private discardedBytes = 0;

  /** Why the current attempt was given up before the end of its response; undefined if it wasn't. */
  private unusableDetail: string | undefined;

  private attempt: targetAttempt.Attempt | undefined;

  /** Whether the caller already has the beginning of a stream, which only another stream can continue. */
  private isContinuation = false;

  /** Whether a buffered response grew too large and is forwarded as it arrives. */
  private isOverflowing = false;

  private readonly overflow = new coalescedParts.CoalescedParts((bytes) => {
    if (!this.response.destroyed) this.write(bytes);
  });

  /** When reading from the target stopped, as the caller reads too slowly; undefined while it is read. */
  private pausedAt: number | undefined;

  /** When reading from the target continued; 0 if it never stopped. */
  private resumedAt = 0;

  /** Longest time for which the current target wasn't read, milliseconds. */
  private maxPauseMs = 0;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly route: Route,
    private readonly caller: protocols.CallerMetadata,
    private readonly held: Pick<heldBytes.Holding, 'setBuffered' | 'offered' | 'isUnderPressure'>,
  ) {}

  /**
   * When the target last could have been expected to send: the time of the last event, or until when it wasn't read.
   * A target that isn't read can't be told from a silent one; after `UNREAD_CUT_MS` it may have cut the response, so the
   * attempt may end.
   */
  lastProgressAt(now: number): number {
    if (this.pausedAt === undefined) return Math.max(this.lastEventAt, this.resumedAt);
    return Math.min(now, this.pausedAt + UNREAD_CUT_MS);
  }

  /** Whether the current target went unread for so long that it may have cut the response for that reason. */
  wentUnread(now: number): boolean {
    const currentMs = this.pausedAt === undefined ? 0 : now - this.pausedAt;
    return Math.max(this.maxPauseMs, currentMs) >= UNREAD_CUT_MS;
  }

  /** Whether the caller has received bytes that no other target can continue from. */
  get isUnrecoverable(): boolean {
    const { response, route, lastEventId } = this;
    const isStream = route.kind === 'streaming' && response.statusCode === STREAM_STATUS;
    return response.headersSent && !(isStream && lastEventId !== undefined);
  }

  /** Whether the caller has received the beginning of an answer, which can only be completed or broken off. */
  get isBegun(): boolean {
    return this.response.headersSent;
  }

  /** `onBegin` is called when the first event of the attempt's response is forwarded. */
  beginAttempt(onBegin: () => void = () => undefined): void {
    this.onBegin = onBegin;
    this.isContinuation = this.response.headersSent;
    this.head = undefined;
    this.attempt = undefined;
    this.splitter = new domain.request.eventSplitter.EventSplitter();
    this.buffered.clear();
    this.overflow.clear();
    this.discardedBytes = 0;
    this.unusableDetail = undefined;
    this.held.setBuffered(0);
    this.gaps = [];
    this.hasBegun = false;
    this.pausedAt = undefined;
    this.maxPauseMs = 0;
  }

  attach(attempt: targetAttempt.Attempt): void {
    this.attempt = attempt;
  }

  onHead(head: targetMessage.ResponseHead): void {
    this.head = head;
    if (this.isPassedOn) return;
    const { attempt } = this;
    clock.startTimeout(MAX_DISCARD_MS, () => {
      endDiscarded(attempt, head, `response without an end: ${head.status}`);
    });
  }

  onData(chunk: Buffer): void {
    if (!this.isPassedOn) this.discard(chunk);
    else if (this.isStream) this.forwardEvents(chunk);
    else this.buffer(chunk);
  }

  onUnusable(detail: string): void {
    this.unusableDetail = detail;
  }

  /**
   * Handles the end of a complete response. With `mayRepeat` a failure reported by the target may be retried elsewhere.
   */
  complete(mayRepeat: boolean): CompletionResult {
    const { head, unusableDetail } = this;
    if (unusableDetail !== undefined) return { kind: 'unusable', detail: unusableDetail };
    if (head === undefined) {
      return { kind: 'unusable', detail: 'no response' };
    }
    const { isNotRun, isWrongLifetime, faulty } = head.facts;
    if (!responseOrigin.isResponseTo(this.caller.requestId, head.facts)) {
      return { kind: 'unusable', detail: `response to another message: ${head.status}` };
    }
    if (isNotRun) {
      return { kind: 'notRun', detail: `target refused: ${head.status}`, isWrongLifetime, faulty };
    }
    if (!this.isForCaller) return { kind: 'unusable', detail: `unusable response: ${head.status}` };
    if (mayRepeat && head.status >= FAILURE_STATUS) {
      return { kind: 'unusable', detail: `target failed: ${head.status}` };
    }
    if (this.isContinuation && !this.isStream) {
      return { kind: 'unusable', detail: `response can't continue the stream: ${head.status}` };
    }
    if (!this.isStream) return this.forwardBuffered(head);
    if (this.splitter.isInsideEvent)
      return { kind: 'unusable', detail: 'stream ended inside an event' };
    this.writeHead(head);
    this.response.end();
    return { kind: 'passedOn' };
  }

  /** Tells the caller that no target ran the request and none will; the guarantee shows it. */
  refuse(_guarantee: notRunGuarantee.NotRunGuarantee, retryAfterMs: number): void {
    this.end(NOT_RUN_STATUS, { 'Retry-After': (retryAfterMs / 1_000).toFixed(2) });
  }

  /** Tells the caller that the request failed; a target may have run it. */
  fail(status: FailureStatus): void {
    this.end(status, {});
  }

  /** Sends a response of the entry itself. One that has begun is aborted, so that it can't be taken for complete. */
  private end(status: number, headers: http.OutgoingHttpHeaders): void {
    if (this.response.headersSent) {
      this.overflow.clear();
      breakOff.breakOff(this.response);
      return;
    }
    this.response.writeHead(status, { ...headers, 'Content-Length': 0 });
    this.response.end();
  }

  /** Status of the response to the caller. */
  get status(): number {
    return this.response.statusCode;
  }

  private get isStream(): boolean {
    return this.route.kind === 'streaming' && this.head?.status === STREAM_STATUS;
  }

  /** Whether the head belongs to a response of this target to this request. */
  private get isForCaller(): boolean {
    const { head, caller } = this;
    if (head === undefined || head.facts.isNotRun) return false;
    const { facts } = head;
    if (!responseOrigin.isResponseTo(caller.requestId, facts) || facts.isEncoded) return false;
    if (head.status > MAX_STATUS) return false;
    return facts.isSigned && !NOT_RUN_STATUSES.has(head.status);
  }

  /** Whether the response is passed on to the caller; one that isn't a stream can't continue a stream. */
  private get isPassedOn(): boolean {
    return this.isForCaller && (this.isStream || !this.isContinuation);
  }

  private discard(chunk: Buffer): void {
    this.discardedBytes += chunk.length;
    if (this.discardedBytes <= MAX_DISCARDED_BYTES) return;
    const { head, attempt } = this;
    if (head === undefined) return;
    endDiscarded(attempt, head, `response of over ${MAX_DISCARDED_BYTES} bytes: ${head.status}`);
  }

  private forwardEvents(chunk: Buffer): void {
    const { head } = this;
    const heldBefore = this.splitter.heldBytes;
    const split = this.splitter.push(chunk);
    const { heldBytes: bytesHeld, partialBytes } = this.splitter;
    if (bytesHeld !== heldBefore) this.held.setBuffered(bytesHeld);
    if (partialBytes > MAX_EVENT_BYTES) {
      this.attempt?.giveUp(`event of over ${MAX_EVENT_BYTES} bytes`);
    }
    if (head === undefined || split.events === 0) return;
    this.writeHead(head);
    this.lastEventId = split.lastId ?? this.lastEventId;
    this.recordEvent(clock.steady());
    this.write(split.bytes);
  }

  private recordEvent(now: number): void {
    if (!this.hasBegun) this.onBegin();
    this.hasBegun = true;
    if (this.firstEventAt === 0) this.firstEventAt = now;
    else this.recordGap(now - this.lastEventAt);
    this.lastEventAt = now;
  }

  private recordGap(ms: number): void {
    this.maxGapMs = Math.max(this.maxGapMs, ms);
    this.gaps.push(ms);
  }

  /**
   * Duration of the current target's engine steps without prefill: the lower quartile of its gaps, as prefill makes
   * some longer and a busy entry makes some look shorter. Undefined for few events.
   */
  get typicalGapMs(): number | undefined {
    if (this.gaps.length < MIN_GAPS) return undefined;
    return [...this.gaps].sort((a, b) => a - b)[Math.floor(this.gaps.length / 4)];
  }

  private buffer(chunk: Buffer): void {
    if (this.isOverflowing) {
      this.overflow.push(chunk);
      return;
    }
    this.buffered.append(chunk);
    this.held.setBuffered(this.buffered.allocatedBytes);
    if (this.buffered.allocatedBytes <= this.maxBufferedBytes || this.head === undefined) return;
    this.isOverflowing = true;
    this.writeHead(this.head);
    this.takeBuffered().forEach((each) => this.write(each));
  }

  /** Under memory pressure a long response is forwarded early: its caller's pace then limits what is read. */
  private get maxBufferedBytes(): number {
    const isFailure = (this.head?.status ?? FAILURE_STATUS) >= FAILURE_STATUS;
    return this.held.isUnderPressure && !isFailure ? MAX_PRESSED_BYTES : MAX_BUFFERED_BYTES;
  }

  private takeBuffered(): Buffer[] {
    this.held.setBuffered(0);
    return this.buffered.take();
  }

  private forwardBuffered(head: targetMessage.ResponseHead): CompletionResult {
    this.writeHead(head);
    this.overflow.flush();
    this.takeBuffered().forEach((each) => {
      this.response.write(each);
      this.held.offered(each.length);
    });
    this.response.end();
    return { kind: 'passedOn' };
  }

  private write(bytes: Buffer): void {
    const isTaken = this.response.write(bytes);
    this.held.offered(bytes.length);
    if (isTaken || this.pausedAt !== undefined) return;
    this.pausedAt = clock.steady();
    const { attempt } = this;
    attempt?.pause();
    this.response.once('drain', () => {
      if (attempt !== this.attempt) return;
      this.recordResumption(clock.steady());
      attempt?.resume();
    });
  }

  private recordResumption(now: number): void {
    this.maxPauseMs = Math.max(this.maxPauseMs, now - (this.pausedAt ?? now));
    this.pausedAt = undefined;
    this.resumedAt = now;
  }

  private writeHead({ status, raw }: targetMessage.ResponseHead): void {
    if (this.response.headersSent) return;
    const forwarded: string[] = [];
    // Another target may continue the stream, so the first one's length doesn't cover all of it.
    const isDropped = (name: string): boolean =>
      hopByHop.HOP_BY_HOP.has(name) || (this.isStream && name === 'content-length');
    for (let i = 0; i + 1 < raw.length; i += 2) {
      if (!isDropped(raw[i].toLowerCase())) forwarded.push(raw[i], raw[i + 1]);
    }
    this.response.writeHead(status, forwarded as unknown as http.OutgoingHttpHeaders);
  }
}

/** Ends an attempt at a response that isn't passed on and doesn't end. */
function endDiscarded(
  attempt: targetAttempt.Attempt | undefined,
  { facts }: targetMessage.ResponseHead,
  detail: string,
): void {
  if (facts.isNotRun) attempt?.endRefusal(`refusal, ${detail}`);
  else attempt?.giveUp(`unusable ${detail}`);
}

/** What may be done with a response without ending it. */
export type OpenResponse = Omit<CallerResponse, 'complete' | 'refuse' | 'fail'>;

/** Statuses that mean the request did not run; only valid if the target states so in its headers. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
