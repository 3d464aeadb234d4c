/**
 * Refuses new callers' connections while this VM is overloaded, by closing the listener. The operating system then
 * resets the connections that wait in the listener's queue and refuses others, at no cost to this process, and their
 * callers try another VM at once. A connection that stayed in the queue would be accepted, one in each turn of the event
 * loop, when its caller has left. Requests on connections that are open already are served.
 */
import type * as http from 'node:http';
import * as net from 'node:net';
import * as perfHooks from 'node:perf_hooks';
import * as domain from '@celerydrift/domain';
import * as turns from '../http/turns';
import type * as observer from '../observability/observer';
import * as listenerBacklog from './listenerBacklog';

export interface Dependencies {
  observer: Pick<observer.Observer, 'log' | 'count'>;
  now: () => number;
  /** Requests without a final response. */
  active: () => number;
  /** Listens again at the callers' address. */
  listen: () => Promise<void>;
}

/** Interval at which the load is sampled while there are requests, milliseconds. */
const SAMPLE_INTERVAL_MS = 25;

/** How long an open connection counts as a request although none has arrived, milliseconds. */
const MAX_SILENT_MS = 1_000;

/** Longest time for which it is closed, milliseconds: a ready VM must accept some connections whatever its load. */
const MAX_PAUSE_MS = 500;

type ListenerState = 'listening' | 'closed' | 'opening';

export class ConnectionGate {
  private readonly limit = new domain.overload.concurrencyLimit.ConcurrencyLimit();

  /** When connections were opened on which no request has arrived yet. */
  private readonly unused = new Map<net.Socket, number>();

  private readonly backlog: listenerBacklog.ListenerBacklog;

  private timer: NodeJS.Timeout | undefined;

  private dueAt = 0;

  /** Utilisation of the event loop up to the last sample. */
  private utilisation = perfHooks.performance.eventLoopUtilization();

  /** Time that turns had taken at the last sample, milliseconds. */
  private turnsMs = turns.totalMs();

  private listener: ListenerState = 'listening';

  private closedAt = 0;

  /** How often the listener was closed since the overload began. */
  private pauses = 0;

  private isStopped = false;

  constructor(
    private readonly server: http.Server,
    private readonly dependencies: Dependencies,
  ) {
    this.backlog = new listenerBacklog.ListenerBacklog(() => dependencies.now() - turns.totalMs());
    server.on('connection', (socket: net.Socket) => this.accepted(socket));
  }

  /** A request has arrived on a connection. */
  used(socket: net.Socket): void {
    this.unused.delete(socket);
    this.startSampling();
  }

  gauges(): Record<string, number> {
    return {
      loopDelayMs: Math.round(this.limit.meanDelayMs),
      requestLimit: this.limit.isLimited ? Math.round(this.limit.value) : 0,
    };
  }

  /** Stops sampling for good; from now on the listener stays as it is. */
  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
  }

  /**
   * Requests in progress and connections that are about to bring one. Those that wait for a turn of the event loop take
   * only what others leave, however long they last.
   */
  private get load(): number {
    const oldest = this.dependencies.now() - MAX_SILENT_MS;
    this.unused.forEach((openedAt, socket) => {
      if (openedAt < oldest) this.unused.delete(socket);
    });
    return Math.max(0, this.dependencies.active() + this.unused.size - turns.waiters());
  }

  private accepted(socket: net.Socket): void {
    this.backlog.accepted();
    this.startSampling();
    this.unused.set(socket, this.dependencies.now());
    socket.once('close', () => this.unused.delete(socket));
    if (this.limit.isLimited) this.steerListener();
  }

  private startSampling(): void {
    if (this.timer !== undefined || this.isStopped) return;
    this.dueAt = this.dependencies.now() + SAMPLE_INTERVAL_MS;
    this.utilisation = perfHooks.performance.eventLoopUtilization();
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
    this.timer.unref();
  }

  private sample(): void {
    const at = this.dependencies.now();
    const turnsMs = this.takeTurnsMs();
    const delayMs = Math.max(0, at - this.dueAt - turnsMs);
    this.dueAt = at + SAMPLE_INTERVAL_MS;
    const { load } = this;
    const { durationMs: backlogMs } = this.backlog;
    const utilisation = this.takeUtilisation(turnsMs);
    const change = this.limit.sample({ backlogMs, delayMs, utilisation, active: load }, at);
    if (change !== 'none') this.logChange(change, load, backlogMs);
    this.steerListener();
    if (load > 0 || this.limit.isLimited || this.listener !== 'listening') return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Time that turns have taken since the last call, milliseconds: they take only what others leave, so it is no load. */
  private takeTurnsMs(): number {
    const totalMs = turns.totalMs();
    const sinceMs = totalMs - this.turnsMs;
    this.turnsMs = totalMs;
    return sinceMs;
  }

  /** Utilisation of the event loop since the last call, without turns. */
  private takeUtilisation(turnsMs: number): number {
    const { performance } = perfHooks;
    const total = performance.eventLoopUtilization();
    const { active, idle } = performance.eventLoopUtilization(total, this.utilisation);
    this.utilisation = total;
    return active + idle === 0 ? 0 : Math.max(0, active - turnsMs) / (active + idle);
  }

  private logChange(change: 'began' | 'ended', active: number, backlogMs: number): void {
    const { observer: observe } = this.dependencies;
    if (change === 'began') {
      const delayMs = Math.round(this.limit.meanDelayMs);
      observe.log('vmOverloaded', { active, delayMs, backlogMs: Math.round(backlogMs) });
    } else observe.log('vmOverloadEnded', { active, pauses: this.pauses });
    this.pauses = 0;
  }

  private steerListener(): void {
    if (this.isStopped) return;
    const { load: active, limit } = this;
    if (this.listener === 'listening') {
      if (limit.isExceeded({ active, backlogMs: this.backlog.durationMs })) this.pause();
    } else if (this.listener === 'closed') {
      const isOverdue = this.dependencies.now() - this.closedAt >= MAX_PAUSE_MS;
      if (isOverdue || limit.hasRoom(active)) void this.resume();
    }
  }

  private pause(): void {
    this.listener = 'closed';
    this.closedAt = this.dependencies.now();
    this.pauses += 1;
    this.dependencies.observer.count('listener.closed');
    // Only the listener: `close` of an HTTP server also closes its idle connections.
    net.Server.prototype.close.call(this.server);
  }

  private async resume(): Promise<void> {
    this.listener = 'opening';
    try {
      await this.dependencies.listen();
      this.listener = 'listening';
      if (this.isStopped) net.Server.prototype.close.call(this.server);
    } catch {
      // The address is in use or not available; the next sample tries again.
      this.listener = 'closed';
    }
  }
}
