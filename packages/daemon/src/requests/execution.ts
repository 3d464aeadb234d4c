/**
 * One model request from its admission to its end: waits for a target, runs attempts, checks every
 * frame, goes on elsewhere when an attempt fails, and always ends: whole, or with an explicit error.
 */
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import type * as observer from '../observability/observer';
import type * as adapter from '../targets/adapter';
import type * as targetErrors from '../targets/errors';
import type * as allocations from './allocations';
import type * as contentMemory from './contentMemory';
import * as errors from './errors';
import type * as gatherer from './gatherer';
import type * as holdingsLoop from './holdingsLoop';
import type * as router from './router';

type Dispatch = domain.routing.dispatcher.Dispatch;
type Fault = domain.request.outcome.Fault;

/** Where the answer goes. */
export interface Sink {
  write(text: string): void;
  /** Aborted when the caller is gone. */
  readonly gone: AbortSignal;
}

export interface Prompt {
  id: string;
  tenant: domain.settings.directory.Tenant;
  model: domain.settings.document.Model;
  prompt: string;
  promptTokens: number;
  answerTokens: number;
  prefixKeys: readonly number[];
  priority: domain.settings.document.Priority;
  deadline: number;
}

export interface Parts {
  router: router.Router;
  allocations: allocations.Allocations;
  adapter: adapter.Adapter;
  gatherer: gatherer.Gatherer;
  holdings: holdingsLoop.HoldingsLoop;
  observer: observer.Observer;
  budget: domain.request.retry.Budget;
  contents: Pick<contentMemory.ContentMemory, 'standing' | 'engineLost' | 'ranWhole'>;
  random: domain.shared.random.Random;
  owner: () => domain.memory.holding.Owner;
  silenceMs: number;
  learn: (model: string, bytes: number, tokens: number) => void;
  now: () => number;
}

export interface Whole {
  text: string;
  tokens: number;
  promptTokens: number;
  target: string;
  attempts: number;
}

/** A failed attempt, and what the target asked to wait. */
interface Failure {
  attempt: domain.request.outcome.Attempt;
  retryAfterMs: number;
  /** The target itself is at fault; a planned stop or a gone caller is not. */
  blame: boolean;
  noRoom?: adapter.AgedLoad;
}

const BLAMELESS: readonly Fault[] = ['callerGone', 'deadline', 'targetStopped', 'refused'];

const SILENT = Symbol('silent');

const STOPPED = Symbol('stopped');

export class Execution {
  private readonly check: domain.request.stream.StreamCheck;

  private readonly attempts: domain.request.outcome.Attempt[] = [];

  private excluded = new Set<string>();

  private abort = new AbortController();

  private stopReason: Fault | undefined;

  private promptTokens: number;

  /** Load of the target that the latest frame with one told. */
  private lastLoad: adapter.AgedLoad | undefined;

  /** Target of the attempt under way, for planned stops. */
  target = '';

  /** What an attempt that loses its engine counts as. */
  private lossOfRun: Omit<contentMemory.Lost, 'target'> = { sentAt: 0, isTrial: false };

  constructor(
    private readonly prompt: Prompt,
    private readonly sink: Sink,
    private readonly parts: Parts,
  ) {
    this.check = new domain.request.stream.StreamCheck(prompt.id);
    this.promptTokens = prompt.promptTokens;
  }

  /** Ends the attempt under way so that the request goes on elsewhere. */
  move(): void {
    this.stop('targetStopped');
  }

  async run(): Promise<Result<Whole, errors.RequestError>> {
    const { now } = this.parts;
    const onGone = (): void => this.stop('callerGone');
    this.sink.gone.addEventListener('abort', onGone);
    const timer = setTimeout(() => this.stop('deadline'), this.prompt.deadline - now());
    try {
      this.parts.budget.firstAttempt();
      return await this.attemptUntilEnd();
    } finally {
      clearTimeout(timer);
      this.sink.gone.removeEventListener('abort', onGone);
    }
  }

  private stop(reason: Fault): void {
    this.stopReason ??= reason;
    this.parts.allocations.withdraw(this.attemptId());
    this.abort.abort();
  }

  private attemptId(): string {
    return `${this.prompt.id}.${this.attempts.length}`;
  }

  private async attemptUntilEnd(): Promise<Result<Whole, errors.RequestError>> {
    for (;;) {
      const ended = this.endedEarly();
      if (ended !== undefined) return Err(ended);
      const standing = this.parts.contents.standing(this.prompt);
      if (standing === 'quarantined') return Err(this.heldBack());
      this.abort = new AbortController();
      this.stopReason = undefined;
      const id = this.attemptId();
      const dispatch = await this.parts.allocations.acquire(this.request(id));
      if (typeof dispatch === 'string') return Err(this.notDispatched(dispatch));
      this.lossOfRun = { sentAt: this.parts.now(), isTrial: standing === 'suspected' };
      const { last, failure } = await this.attemptWithRoom(id, dispatch);
      this.parts.allocations.ended(id, this.target, this.lastLoad);
      if (failure === undefined) return Ok(this.whole(last));
      if (domain.request.retry.LOST.includes(failure.attempt.fault)) {
        this.parts.contents.engineLost(this.prompt, { target: last.target, ...this.lossOfRun });
      }
      const given = await this.afterFailure(failure);
      if (given !== undefined) return Err(given);
    }
  }

  /** An engine without room ran nothing, so the request goes back to its place in the queue. */
  private async attemptWithRoom(
    id: string,
    first: Dispatch,
  ): Promise<{ last: Dispatch; failure: Failure | undefined }> {
    let last = first;
    for (;;) {
      this.target = last.target.name;
      this.lastLoad = undefined;
      const failure = await this.attempt(id, last);
      if (failure?.noRoom === undefined) return { last, failure };
      const next = await this.parts.allocations.refused(id, failure.noRoom);
      if (typeof next === 'string') {
        const fault = this.stopReason ?? 'deadline';
        return { last, failure: this.failure(last.target.name, 'refusedByTarget', fault, 0) };
      }
      last = next;
    }
  }

  private endedEarly(): errors.RequestError | undefined {
    if (this.sink.gone.aborted)
      return this.failed('callerGone', 'the caller closed the connection');
    if (this.parts.now() >= this.prompt.deadline) return this.failed('deadline', 'out of time');
    return undefined;
  }

  private heldBack(): errors.RequestError {
    return this.failed(
      'failed',
      'engines were lost under this prompt; it is held back for a while',
    );
  }

  private request(id: string): domain.routing.dispatcher.Request {
    const { tenant, model, prefixKeys, priority, deadline, answerTokens } = this.prompt;
    return {
      id,
      organisation: `${tenant.team}/${tenant.organisation.name}`,
      share: tenant.organisation.share,
      priority,
      model: { base: model.base, adapter: model.adapter, version: model.version },
      promptTokens: this.prompt.promptTokens + this.check.position,
      answerTokens: Math.max(1, answerTokens - this.check.position),
      prefixKeys,
      enqueuedAt: this.parts.now(),
      deadline,
      excluded: this.excluded,
    };
  }

  private notDispatched(
    reason: router.Ended | domain.routing.dispatcher.Refusal,
  ): errors.RequestError {
    if (reason === 'withdrawn' && this.sink.gone.aborted) {
      return this.failed('callerGone', 'the caller closed the connection');
    }
    if (reason === 'withdrawn' || reason === 'deadline') {
      return this.failed('deadline', 'no target became free within the deadline');
    }
    const kinds = {
      queueFull: ['overloaded', 'too much work is waiting here', 1_000],
      deadlineInfeasible: ['deadlineInfeasible', 'the deadline is too short for this prompt', 0],
      noTarget: ['noTarget', 'no target serves this model now', 1_000],
    } as const;
    const [kind, message, retryAfterMs] = kinds[reason];
    return this.failed(kind, message, retryAfterMs);
  }

  /** Runs one attempt; undefined when the answer is whole. */
  private async attempt(id: string, dispatch: Dispatch): Promise<Failure | undefined> {
    const { target } = dispatch;
    const gathered = await this.parts.gatherer.gather(
      id,
      this.request(id),
      target,
      this.abort.signal,
    );
    if (gathered.err) return this.failure(target.name, 'notSent', this.stopReason ?? 'refused', 0);
    this.check.continueAs(id);
    this.parts.holdings.hold(target, id, 'stream');
    const failure = await this.stream(id, dispatch, gathered.val.parts);
    const nothingHeld = failure === undefined || failure.noRoom !== undefined;
    if (nothingHeld) this.parts.holdings.holdings.confirmed(target.name, id);
    else this.parts.holdings.release(target.name, id);
    this.parts.gatherer.giveBack(gathered.val);
    return failure;
  }

  private async stream(
    id: string,
    { target, enginePriority, needsRoom }: Dispatch,
    reservations: readonly domain.memory.gathering.Part[],
  ): Promise<Failure | undefined> {
    const { model, prompt, answerTokens, prefixKeys } = this.prompt;
    const opened = await this.open(target, {
      request: id,
      model: { base: model.base, adapter: model.adapter, version: model.version },
      prompt,
      answerTokens,
      priority: enginePriority,
      resumeFrom: this.check.position,
      emitted: this.check.text,
      prefixKeys,
      owner: this.parts.owner(),
      reservations,
      needsRoom,
    });
    if (opened.err) return this.openFailure(target.name, opened.val);
    return this.readAll(id, target, opened.val);
  }

  /**
   * Sends the prompt and waits for the engine to take it. A pooled connection may have gone silent while
   * idle: then no headers ever come, and without a look over a new connection the request would wait for
   * its deadline. An engine that knows it is read over the new one; one that doesn't never got it.
   */
  private async open(
    target: domain.target.target.Target,
    generation: adapter.Generation,
  ): Promise<Result<adapter.EngineStream, targetErrors.TargetError>> {
    const opening = new AbortController();
    const signal = AbortSignal.any([this.abort.signal, opening.signal]);
    const generated = this.parts.adapter.generate(target, generation, signal);
    for (;;) {
      const opened = await this.orSilence(generated);
      if (opened !== SILENT) return opened;
      const { request } = generation;
      const state = await this.parts.adapter.stateOf(target, request);
      if (state.err || state.val === 'unknown') {
        opening.abort();
        return Err({ progress: 'sent', fault: 'silent', detail: 'no headers', retryAfterMs: 0 });
      }
      const resumed = await this.parts.adapter.resume(target, request, this.check.position);
      if (resumed.ok) {
        this.parts.observer.log('connectionSilent', { target: target.name, request });
        opening.abort();
        return resumed;
      }
    }
  }

  private async orSilence<T>(promise: Promise<T>): Promise<T | typeof SILENT> {
    let timer: NodeJS.Timeout | undefined;
    const silence = new Promise<typeof SILENT>((resolve) => {
      timer = setTimeout(() => resolve(SILENT), this.parts.silenceMs);
    });
    try {
      return await Promise.race([promise, silence]);
    } finally {
      clearTimeout(timer);
    }
  }

  private openFailure(target: string, error: targetErrors.TargetError): Failure {
    const fault = this.stopReason ?? error.fault;
    const failure = this.failure(target, error.progress, fault, error.retryAfterMs);
    return this.stopReason === undefined ? { ...failure, noRoom: error.noRoom } : failure;
  }

  private async readAll(
    id: string,
    target: domain.target.target.Target,
    first: adapter.EngineStream,
  ): Promise<Failure | undefined> {
    let stream = first;
    let seen = false;
    try {
      for (;;) {
        const frame = await this.nextFrame(stream);
        if (frame === STOPPED) return this.fail(target.name, this.stopReason ?? 'callerGone');
        if (frame === SILENT) {
          const resumed = await this.onSilence(id, target);
          if (resumed.err) return this.fail(target.name, resumed.val);
          if (resumed.val !== undefined) {
            stream.close();
            stream = resumed.val;
          }
          continue;
        }
        if (frame === 'broken' || frame === undefined) {
          const resumed = await this.parts.adapter.resume(target, id, this.check.position);
          if (resumed.err) return this.fail(target.name, 'cutShort');
          stream.close();
          stream = resumed.val;
          continue;
        }
        if (!seen) this.parts.allocations.firstToken(id, target.name, frame.load);
        seen = true;
        const finding = this.take(target.name, frame);
        if (finding === 'whole') return undefined;
        if (finding === 'wrong') return this.fail(target.name, 'crossed');
      }
    } finally {
      stream.close();
    }
  }

  private fail(target: string, fault: Fault): Failure {
    return this.failure(target, 'answering', this.stopReason ?? fault, 0);
  }

  private async nextFrame(
    stream: adapter.EngineStream,
  ): Promise<adapter.EngineFrame | undefined | 'broken' | typeof SILENT | typeof STOPPED> {
    if (this.abort.signal.aborted) return STOPPED;
    let onAbort: (() => void) | undefined;
    const stopped = new Promise<typeof STOPPED>((resolve) => {
      onAbort = () => resolve(STOPPED);
      this.abort.signal.addEventListener('abort', onAbort);
    });
    const next = stream.next().catch(() => 'broken' as const);
    try {
      return await this.orSilence(Promise.race([next, stopped]));
    } finally {
      if (onAbort !== undefined) this.abort.signal.removeEventListener('abort', onAbort);
    }
  }

  /**
   * Nothing came for a while. A long prompt legitimately takes long, and a connection can die in
   * silence while the engine works on; so the engine is asked over a new connection. Decoding or
   * finished means that this connection is dead: the stream is read again over a new one. Still
   * waiting or prefilling means patience. Unknown or no answer means that the attempt is lost.
   */
  private async onSilence(
    id: string,
    target: domain.target.target.Target,
  ): Promise<Result<adapter.EngineStream | undefined, Fault>> {
    const state = await this.parts.adapter.stateOf(target, id);
    if (state.err) return Err('silent');
    if (state.val === 'unknown') return Err('connectionLost');
    if (state.val === 'queued' || state.val === 'prefilling') return Ok(undefined);
    this.parts.observer.log('connectionSilent', { target: target.name, request: id });
    const resumed = await this.parts.adapter.resume(target, id, this.check.position);
    return resumed.ok ? Ok(resumed.val) : Err('silent');
  }

  private take(target: string, frame: adapter.EngineFrame): 'more' | 'whole' | 'wrong' {
    const finding = this.check.take(frame);
    if (finding.kind === 'crossed' || finding.kind === 'gap') {
      this.parts.observer.log('frameCrossed', { target, finding: finding.kind });
      return 'wrong';
    }
    if (frame.load !== undefined) this.noteLoad(target, frame.load);
    if (frame.promptTokens !== undefined) this.learn(frame.promptTokens);
    if (finding.kind === 'repeated') return 'more';
    this.sink.write(finding.text);
    return finding.last ? 'whole' : 'more';
  }

  private noteLoad(target: string, load: adapter.AgedLoad): void {
    this.lastLoad = load;
    this.parts.router.load(target, load);
  }

  private learn(promptTokens: number): void {
    this.promptTokens = promptTokens;
    this.parts.learn(this.prompt.model.base, this.prompt.prompt.length, promptTokens);
  }

  private failure(
    target: string,
    progress: domain.request.outcome.Progress,
    fault: Fault,
    retryAfterMs: number,
  ): Failure {
    const blame = !BLAMELESS.includes(fault);
    return { attempt: { target, progress, fault }, retryAfterMs, blame };
  }

  /** Decides on a retry and waits for it; an error ends the request. */
  private async afterFailure(failure: Failure): Promise<errors.RequestError | undefined> {
    const { attempt, retryAfterMs, blame } = failure;
    this.attempts.push(attempt);
    this.parts.observer.log('attemptFailed', { request: this.prompt.id, ...attempt });
    this.parts.observer.count(`attempt.failed.${attempt.fault}`);
    if (blame) this.parts.router.failed(attempt.target);
    this.excluded = new Set([...this.excluded, attempt.target]);
    const left = this.prompt.deadline - this.parts.now();
    // A prompt may be computed again: its answer goes on from the tokens already passed on.
    const decision = domain.request.retry.decide(
      this.attempts,
      true,
      left,
      retryAfterMs,
      this.parts.budget,
      this.parts.random,
    );
    if (decision.kind === 'giveUp') {
      const early = this.endedEarly();
      return early ?? this.failed('failed', `${attempt.fault} at ${attempt.target}, no retry left`);
    }
    if (attempt.fault === 'targetStopped') {
      this.parts.observer.log('streamMoved', { request: this.prompt.id, from: attempt.target });
    }
    await new Promise((resolve) => {
      setTimeout(resolve, decision.delayMs);
    });
    return undefined;
  }

  private failed(kind: errors.Kind, message: string, retryAfterMs = 0): errors.RequestError {
    const outcome = domain.request.outcome.outcomeOf(this.attempts, true);
    return { kind, outcome, message, retryAfterMs };
  }

  private whole({ target }: Dispatch): Whole {
    this.parts.router.succeeded(target.name);
    this.parts.contents.ranWhole(this.prompt);
    const { position: tokens, text } = this.check;
    const attempts = this.attempts.length + 1;
    return { text, tokens, promptTokens: this.promptTokens, target: target.name, attempts };
  }
}
