/**
 * Runs one admitted model request: waits for a target, runs attempts, validates every frame and resumes
 * on another target when an attempt fails. Always finishes, with the complete answer or an explicit error.
 */
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import type * as observer from '../observability/observer';
import type * as adapter from '../targets/adapter';
import type * as agedLoad from '../targets/agedLoad';
import * as boundedBody from '../targets/boundedBody';
import type * as targetErrors from '../targets/errors';
import type * as allocationClient from './allocationClient';
import type * as promptQuarantine from './promptQuarantine';
import * as errors from './errors';
import type * as gatherer from './gatherer';
import type * as leaseLoop from './leaseLoop';
import type * as router from './router';

type Dispatch = domain.routing.dispatcher.Dispatch;
type Target = domain.target.target.Target;
type Fault = domain.request.outcome.Fault;

/** Receives the text of the answer as it is generated. */
export interface Sink {
  write(text: string): void;
  /** Aborted when the caller closes the connection. */
  readonly gone: AbortSignal;
}

/** An admitted request to a model. */
export interface ModelRequest extends promptQuarantine.Prompt {
  id: string;
  promptTokens: number;
  answerTokens: number;
  prefixKeys: readonly number[];
  priority: domain.settings.document.Priority;
  /** Time by which the answer must be complete, on the daemon's steady clock. */
  deadline: number;
}

/** What an execution needs from the rest of the daemon. */
export interface Dependencies {
  router: router.Router;
  allocationClient: allocationClient.AllocationClient;
  adapter: adapter.EngineAdapter;
  gatherer: gatherer.Gatherer;
  leaseLoop: leaseLoop.LeaseLoop;
  observer: observer.Observer;
  budget: domain.request.retry.Budget;
  /** Quarantine of prompts that crash engines. */
  quarantine: Pick<
    promptQuarantine.PromptQuarantine,
    'status' | 'reportEngineLoss' | 'clearSuspicion'
  >;
  random: domain.shared.random.Random;
  owner: () => domain.memory.leasedResources.Owner;
  /** Response timeout: an engine that sends nothing for so long is probed. */
  silenceMs: number;
  /** Updates the ratio of prompt length to tokens of a model. */
  learn: (model: string, bytes: number, tokens: number) => void;
  now: () => number;
}

/** A complete answer. */
export interface Completion {
  text: string;
  tokens: number;
  promptTokens: number;
  target: string;
  attempts: number;
}

/** A failed attempt and its consequences. */
interface AttemptFailure {
  attempt: domain.request.outcome.Attempt;
  /** Delay that the target asked for before a retry; 0 if none. */
  retryAfterMs: number;
  /** Whether the failure counts against the target's circuit; a planned stop or a closed connection doesn't. */
  isTargetFault: boolean;
  /** Load of an engine that refused for lack of memory. */
  noRoom?: agedLoad.AgedLoad;
}

/** Faults that don't count against the target. */
const NON_TARGET_FAULTS: readonly Fault[] = ['callerGone', 'deadline', 'targetStopped', 'refused'];

/** Tokens beyond those asked for that an engine may send in one attempt; more are taken for an answer without end. */
const MAX_EXCESS_TOKENS = 1_000;

/** Maximum number of other engines that are probed before a silent one is given up. */
const MAX_PROBED_ENGINES = 3;

/** Nothing arrived within the response timeout. */
const OVERDUE = Symbol('overdue');

/** The attempt was aborted while it waited for a frame. */
const ABORTED = Symbol('aborted');

/** The next frame of a stream, or why there is none; undefined at its end. */
type Arrival = adapter.EngineFrame | undefined | 'broken' | 'unusable';

function nextOf(stream: adapter.EngineStream): Promise<Arrival> {
  return stream.next().catch((error: unknown) => {
    const isUnusable =
      error instanceof SyntaxError || error instanceof boundedBody.ResponseTooLargeError;
    return isUnusable ? 'unusable' : 'broken';
  });
}

/** Whether an error shows that an engine runs, or that none does at its address; silence shows neither. */
function isConclusive({ fault, detail }: targetErrors.TargetError): boolean {
  return fault === 'refused' || detail.includes('ECONNREFUSED');
}

export class Execution {
  private readonly check: domain.request.stream.StreamCheck;

  private readonly attempts: domain.request.outcome.Attempt[] = [];

  private excluded = new Set<string>();

  private abortController = new AbortController();

  private abortReason: Fault | undefined;

  private promptTokens: number;

  /** Most recent load report of the target, from the frames of the current attempt. */
  private lastLoad: agedLoad.AgedLoad | undefined;

  /** Target of the current attempt; planned stops use it to find affected requests. */
  target = '';

  /** Properties of the current attempt, for the report if its engine is lost. */
  private attemptContext: Omit<promptQuarantine.EngineLoss, 'target'> = {
    sentAt: 0,
    isTrial: false,
  };

  constructor(
    private readonly request: ModelRequest,
    private readonly sink: Sink,
    private readonly dependencies: Dependencies,
  ) {
    this.check = new domain.request.stream.StreamCheck(request.id);
    this.promptTokens = request.promptTokens;
  }

  /** Aborts the current attempt so that the request resumes on another target. */
  move(): void {
    this.abortAttempt('targetStopped');
  }

  async run(): Promise<Result<Completion, errors.RequestError>> {
    const { now } = this.dependencies;
    const onCallerGone = (): void => this.abortAttempt('callerGone');
    this.sink.gone.addEventListener('abort', onCallerGone);
    const timer = setTimeout(() => this.abortAttempt('deadline'), this.request.deadline - now());
    try {
      this.dependencies.budget.firstAttempt();
      return await this.runAttempts();
    } finally {
      clearTimeout(timer);
      this.sink.gone.removeEventListener('abort', onCallerGone);
    }
  }

  private abortAttempt(reason: Fault): void {
    this.abortReason ??= reason;
    this.dependencies.allocationClient.withdraw(this.attemptId());
    this.abortController.abort();
  }

  private attemptId(): string {
    return `${this.request.id}.${this.attempts.length}`;
  }

  private async runAttempts(): Promise<Result<Completion, errors.RequestError>> {
    for (;;) {
      const termination = this.earlyTermination();
      if (termination !== undefined) return Err(termination);
      const status = this.dependencies.quarantine.status(this.request);
      if (status === 'quarantined') return Err(this.quarantineError());
      this.abortController = new AbortController();
      this.abortReason = undefined;
      const id = this.attemptId();
      const dispatch = await this.dependencies.allocationClient.acquire(this.routingRequest(id));
      if (typeof dispatch === 'string') return Err(this.dispatchError(dispatch));
      this.attemptContext = { sentAt: this.dependencies.now(), isTrial: status === 'suspected' };
      const { last, failure } = await this.attemptUntilAccepted(id, dispatch);
      this.dependencies.allocationClient.finished(id, this.target, this.lastLoad);
      if (failure === undefined) return Ok(this.complete(last));
      if (domain.request.retry.TARGET_LOST_FAULTS.includes(failure.attempt.fault)) {
        this.dependencies.quarantine.reportEngineLoss(this.request, {
          target: last.target,
          ...this.attemptContext,
        });
      }
      const error = await this.retryOrGiveUp(failure);
      if (error !== undefined) return Err(error);
    }
  }

  /**
   * Repeats an attempt while engines refuse it for lack of memory: they ran nothing, so the request returns to its
   * place in the queue and the attempt keeps its id.
   */
  private async attemptUntilAccepted(
    id: string,
    first: Dispatch,
  ): Promise<{ last: Dispatch; failure: AttemptFailure | undefined }> {
    let last = first;
    for (;;) {
      this.target = last.target.name;
      this.lastLoad = undefined;
      const failure = await this.attempt(id, last);
      if (failure?.noRoom === undefined) return { last, failure };
      const next = await this.dependencies.allocationClient.requeue(id, failure.noRoom);
      if (typeof next === 'string') {
        const fault = this.abortReason ?? 'deadline';
        return {
          last,
          failure: this.attemptFailure(last.target.name, 'refusedByTarget', fault, 0),
        };
      }
      last = next;
    }
  }

  private earlyTermination(): errors.RequestError | undefined {
    if (this.sink.gone.aborted)
      return this.requestError('callerGone', 'the caller closed the connection');
    if (this.dependencies.now() >= this.request.deadline)
      return this.requestError('deadline', 'the deadline has passed');
    return undefined;
  }

  private quarantineError(): errors.RequestError {
    return this.requestError(
      'failed',
      'this prompt is temporarily quarantined: engines were lost while running it',
    );
  }

  private routingRequest(id: string): domain.routing.dispatcher.Request {
    const { tenant, model, prefixKeys, priority, deadline, answerTokens } = this.request;
    return {
      id,
      organisation: `${tenant.team}/${tenant.organisation.name}`,
      share: tenant.organisation.share,
      priority,
      model: { base: model.base, adapter: model.adapter, version: model.version },
      promptTokens: this.request.promptTokens + this.check.position,
      answerTokens: Math.max(1, answerTokens - this.check.position),
      prefixKeys,
      enqueuedAt: this.dependencies.now(),
      deadline,
      excluded: this.excluded,
    };
  }

  private dispatchError(
    reason: router.DequeueReason | domain.routing.dispatcher.Refusal,
  ): errors.RequestError {
    if (reason === 'withdrawn' && this.sink.gone.aborted) {
      return this.requestError('callerGone', 'the caller closed the connection');
    }
    if (reason === 'withdrawn' || reason === 'deadline') {
      return this.requestError('deadline', 'no target became available before the deadline');
    }
    const kinds = {
      queueFull: ['overloaded', 'the wait queue is full', 1_000],
      deadlineInfeasible: ['deadlineInfeasible', 'the deadline is too short for this prompt', 0],
      noTarget: ['noTarget', 'no target serves this model now', 1_000],
    } as const;
    const [kind, message, retryAfterMs] = kinds[reason];
    return this.requestError(kind, message, retryAfterMs);
  }

  /** Runs one attempt; undefined when the answer is complete. */
  private async attempt(id: string, dispatch: Dispatch): Promise<AttemptFailure | undefined> {
    const { target } = dispatch;
    const gathered = await this.dependencies.gatherer.gather(
      id,
      this.routingRequest(id),
      target,
      this.abortController.signal,
    );
    if (gathered.err)
      return this.attemptFailure(target.name, 'notSent', this.abortReason ?? 'refused', 0);
    this.check.continueAs(id);
    this.dependencies.leaseLoop.addLease(target, id, 'stream');
    const failure = await this.stream(id, dispatch, gathered.val.parts);
    // A complete answer or a refusal for lack of memory leaves nothing leased on the engine.
    const hasNoLease = failure === undefined || failure.noRoom !== undefined;
    if (hasNoLease) this.dependencies.leaseLoop.leases.confirmRelease(target.name, id);
    else this.dependencies.leaseLoop.release(target.name, id);
    this.dependencies.gatherer.release(gathered.val);
    return failure;
  }

  private async stream(
    id: string,
    { target, enginePriority, needsRoom }: Dispatch,
    reservations: readonly domain.memory.gathering.MemoryPart[],
  ): Promise<AttemptFailure | undefined> {
    const { model, prompt, answerTokens, prefixKeys } = this.request;
    const opened = await this.open(target, {
      request: id,
      model: { base: model.base, adapter: model.adapter, version: model.version },
      prompt,
      answerTokens,
      priority: enginePriority,
      resumeFrom: this.check.position,
      emitted: this.check.text,
      prefixKeys,
      owner: this.dependencies.owner(),
      reservations,
      needsRoom,
    });
    if (opened.err) return this.openingFailure(target.name, opened.val);
    return this.readFrames(id, target, opened.val);
  }

  /**
   * Sends the prompt and waits for the response headers. A pooled connection may have died while idle, in
   * which case no headers ever arrive and the request would wait until its deadline, so an overdue request is
   * probed over a new connection. If the engine knows the request, its stream is resumed there; otherwise the
   * engine never received it.
   */
  private async open(
    target: Target,
    generation: adapter.GenerateRequest,
  ): Promise<Result<adapter.EngineStream, targetErrors.TargetError>> {
    const openController = new AbortController();
    const signal = AbortSignal.any([this.abortController.signal, openController.signal]);
    const generated = this.dependencies.adapter.generate(target, generation, signal);
    for (;;) {
      const opened = await this.orOverdue(generated);
      if (opened !== OVERDUE) return opened;
      const { request } = generation;
      const state = await this.untilAborted(this.stateOf(target, request));
      if (state === ABORTED || (state.err && state.val === 'waiting')) continue;
      if (state.err || state.val === 'unknown') {
        openController.abort();
        return Err({ progress: 'sent', fault: 'silent', detail: 'no headers', retryAfterMs: 0 });
      }
      const resumed = await this.dependencies.adapter.resume(target, request, this.check.position);
      if (resumed.ok) {
        this.dependencies.observer.log('connectionSilent', { target: target.name, request });
        openController.abort();
        return resumed;
      }
    }
  }

  private async orOverdue<T>(promise: Promise<T>): Promise<T | typeof OVERDUE> {
    let timer: NodeJS.Timeout | undefined;
    const overdue = new Promise<typeof OVERDUE>((resolve) => {
      timer = setTimeout(() => resolve(OVERDUE), this.dependencies.silenceMs);
    });
    try {
      return await Promise.race([promise, overdue]);
    } finally {
      clearTimeout(timer);
    }
  }

  private openingFailure(target: string, error: targetErrors.TargetError): AttemptFailure {
    const fault = this.abortReason ?? error.fault;
    const failure = this.attemptFailure(target, error.progress, fault, error.retryAfterMs);
    return this.abortReason === undefined ? { ...failure, noRoom: error.noRoom } : failure;
  }

  private async readFrames(
    id: string,
    target: Target,
    first: adapter.EngineStream,
  ): Promise<AttemptFailure | undefined> {
    let stream = first;
    let hasFrame = false;
    let received = 0;
    // Kept while the engine is probed: a frame that arrives meanwhile must not get lost.
    let next: Promise<Arrival> | undefined;
    try {
      for (;;) {
        next ??= nextOf(stream);
        const frame = await this.untilAborted(this.orOverdue(next));
        if (frame === ABORTED)
          return this.streamFailure(target.name, this.abortReason ?? 'callerGone');
        if (frame === OVERDUE) {
          const resumed = await this.untilAborted(this.probeOverdueStream(id, target));
          if (resumed === ABORTED) continue;
          if (resumed.err) {
            const hasArrived = (await Promise.race([next, OVERDUE])) !== OVERDUE;
            if (hasArrived) continue;
            return this.streamFailure(target.name, resumed.val);
          }
          if (resumed.val !== undefined) {
            stream.close();
            stream = resumed.val;
            next = undefined;
          }
          continue;
        }
        next = undefined;
        if (frame === 'unusable') return this.unusable(target.name, 'unreadable');
        if (frame === 'broken' || frame === undefined) {
          const resumed = await this.dependencies.adapter.resume(target, id, this.check.position);
          if (resumed.err) return this.streamFailure(target.name, 'cutShort');
          stream.close();
          stream = resumed.val;
          continue;
        }
        if (!hasFrame) this.dependencies.allocationClient.firstToken(id, target.name, frame.load);
        hasFrame = true;
        received += Math.max(1, frame.tokens);
        if (received > 2 * this.request.answerTokens + MAX_EXCESS_TOKENS)
          return this.unusable(target.name, 'excess');
        const finding = this.acceptFrame(target.name, frame);
        if (finding === 'whole') return undefined;
        if (finding === 'wrong') return this.streamFailure(target.name, 'crossed');
      }
    } finally {
      stream.close();
    }
  }

  private streamFailure(target: string, fault: Fault): AttemptFailure {
    return this.attemptFailure(target, 'answering', this.abortReason ?? fault, 0);
  }

  /** Gives up an engine that sends what can't be part of the answer. */
  private unusable(target: string, finding: 'unreadable' | 'excess'): AttemptFailure {
    this.dependencies.observer.log('frameCrossed', { target, finding });
    return this.streamFailure(target, 'crossed');
  }

  private async untilAborted<T>(promise: Promise<T>): Promise<T | typeof ABORTED> {
    const { signal } = this.abortController;
    if (signal.aborted) return ABORTED;
    let onAbort: (() => void) | undefined;
    const aborted = new Promise<typeof ABORTED>((resolve) => {
      onAbort = () => resolve(ABORTED);
      signal.addEventListener('abort', onAbort);
    });
    try {
      return await Promise.race([promise, aborted]);
    } finally {
      if (onAbort !== undefined) signal.removeEventListener('abort', onAbort);
    }
  }

  /**
   * State of a request at an engine. Silence doesn't tell an engine that is down from one that is sound but stuck for a
   * moment, perhaps with all others, so a silent one is `waiting` unless the request can move to another engine.
   */
  private async stateOf(
    target: Target,
    request: string,
  ): Promise<Result<adapter.RequestState, 'waiting' | 'silent'>> {
    const state = await this.dependencies.adapter.stateOf(target, request);
    if (state.ok) return state;
    const canLeave = isConclusive(state.val) || (await this.canMove(target, request));
    return Err(canLeave ? 'silent' : 'waiting');
  }

  /** Whether another attempt would be granted now, and another engine responds. */
  private async canMove(target: Target, request: string): Promise<boolean> {
    const hasRetry = domain.request.retry.isAvailable(
      this.attempts.length + 1,
      this.dependencies.budget,
    );
    return hasRetry && this.doesAnotherRespond(target, request);
  }

  private async doesAnotherRespond(target: Target, request: string): Promise<boolean> {
    const others = this.dependencies.router.alternatives(target).slice(0, MAX_PROBED_ENGINES);
    const states = await Promise.all(
      others.map((other) => this.dependencies.adapter.stateOf(other, request)),
    );
    return states.some((state) => state.ok || state.val.fault === 'refused');
  }

  /**
   * Probes the engine over a new connection when a stream is overdue: a long prompt may legitimately take
   * this long, and a connection can die unnoticed while the engine works on.
   *
   * - `queued`, `prefilling`: keep waiting.
   * - `decoding`, `finished`: resume the stream over a new connection. An engine that doesn't let it may only be slow, so
   *   keep waiting on this one unless the request can move to another engine.
   * - `unknown`, or no answer while the request can move: the attempt has failed.
   */
  private async probeOverdueStream(
    id: string,
    target: Target,
  ): Promise<Result<adapter.EngineStream | undefined, Fault>> {
    const state = await this.stateOf(target, id);
    if (state.err) return state.val === 'waiting' ? Ok(undefined) : Err('silent');
    if (state.val === 'unknown') return Err('connectionLost');
    if (state.val === 'queued' || state.val === 'prefilling') return Ok(undefined);
    const resumed = await this.dependencies.adapter.resume(target, id, this.check.position);
    if (resumed.err) return (await this.canMove(target, id)) ? Err('silent') : Ok(undefined);
    this.dependencies.observer.log('connectionSilent', { target: target.name, request: id });
    return Ok(resumed.val);
  }

  private acceptFrame(target: string, frame: adapter.EngineFrame): 'more' | 'whole' | 'wrong' {
    const finding = this.check.accept(frame);
    if (finding.kind === 'crossed' || finding.kind === 'gap') {
      this.dependencies.observer.log('frameCrossed', { target, finding: finding.kind });
      return 'wrong';
    }
    if (frame.load !== undefined) this.recordLoad(target, frame.load);
    if (frame.promptTokens !== undefined) this.recordPromptTokens(frame.promptTokens);
    if (finding.kind === 'repeated') return 'more';
    this.sink.write(finding.text);
    return finding.last ? 'whole' : 'more';
  }

  private recordLoad(target: string, load: agedLoad.AgedLoad): void {
    this.lastLoad = load;
    this.dependencies.router.reportLoad(target, load);
  }

  private recordPromptTokens(promptTokens: number): void {
    this.promptTokens = promptTokens;
    this.dependencies.learn(this.request.model.base, this.request.prompt.length, promptTokens);
  }

  private attemptFailure(
    target: string,
    progress: domain.request.outcome.Progress,
    fault: Fault,
    retryAfterMs: number,
  ): AttemptFailure {
    const isTargetFault = !NON_TARGET_FAULTS.includes(fault);
    return { attempt: { target, progress, fault }, retryAfterMs, isTargetFault };
  }

  /** Records a failed attempt, then waits for the next retry or returns the error that ends the request. */
  private async retryOrGiveUp(failure: AttemptFailure): Promise<errors.RequestError | undefined> {
    const { attempt, retryAfterMs, isTargetFault } = failure;
    this.attempts.push(attempt);
    this.dependencies.observer.log('attemptFailed', { request: this.request.id, ...attempt });
    this.dependencies.observer.count(`attempt.failed.${attempt.fault}`);
    if (isTargetFault) this.dependencies.router.failed(attempt.target);
    this.excluded = new Set([...this.excluded, attempt.target]);
    const remainingMs = this.request.deadline - this.dependencies.now();
    // Generation is repeatable: a retry resumes after the tokens already sent to the caller.
    const decision = domain.request.retry.decide(
      this.attempts,
      true,
      remainingMs,
      retryAfterMs,
      this.dependencies.budget,
      this.dependencies.random,
    );
    if (decision.kind === 'giveUp') {
      const termination = this.earlyTermination();
      return (
        termination ??
        this.requestError('failed', `${attempt.fault} at ${attempt.target}, no retries left`)
      );
    }
    if (attempt.fault === 'targetStopped') {
      this.dependencies.observer.log('streamMoved', {
        request: this.request.id,
        from: attempt.target,
      });
    }
    await new Promise((resolve) => {
      setTimeout(resolve, decision.delayMs);
    });
    return undefined;
  }

  private requestError(
    kind: errors.ErrorKind,
    message: string,
    retryAfterMs = 0,
  ): errors.RequestError {
    const outcome = domain.request.outcome.outcomeOf(this.attempts, true);
    return { kind, outcome, message, retryAfterMs };
  }

  private complete({ target }: Dispatch): Completion {
    this.dependencies.router.succeeded(target.name);
    this.dependencies.quarantine.clearSuspicion(this.request);
    const { position: tokens, text } = this.check;
    const attempts = this.attempts.length + 1;
    return { text, tokens, promptTokens: this.promptTokens, target: target.name, attempts };
  }
}
