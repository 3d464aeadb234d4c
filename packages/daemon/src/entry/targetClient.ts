/**
 * HTTP client for targets, built on undici. Each lifetime of a target has its own connection pool, so a restarted
 * target never gets a connection of its predecessor. A request whose first byte was never written is known not to
 * have run. Where this VM's path to a target is lost, the message goes by way of another entry.
 */
import * as net from 'node:net';
import * as undici from 'undici';
import * as clock from '../clock';
import type * as protocols from '../edges/protocols';
import * as targetAttempt from './targetAttempt';
import * as connectionTracker from './connectionTracker';
import * as directDispatch from './directDispatch';
import * as outOfTurnTargets from './outOfTurnTargets';
import type * as pathMonitor from './pathMonitor';
import type * as relayClient from './relayClient';
import type * as targetMessage from './targetMessage';

export interface Dependencies {
  protocol: Pick<protocols.TrafficProtocol, 'responseMetadata'>;
  gate: targetMessage.AdmissionGate;
  /** Opens connections to targets; `net.connect` by default. */
  openSocket?: connectionTracker.SocketOpener;
  /** IP address that connections come from; undefined where the operating system chooses. */
  source?: string;
  /** Judges which paths are lost; without it all messages are sent directly. */
  paths?: Pick<
    pathMonitor.PathMonitor,
    'connected' | 'failed' | 'responded' | 'reachedElsewhere' | 'isLost'
  >;
  /** Sends messages by way of other entries. */
  relays?: Pick<relayClient.RelayClient, 'deliver' | 'hasPeers' | 'withholds'>;
}

/** An idle connection is closed this long before the target would close it, milliseconds. */
const IDLE_TIMEOUT_MARGIN_MS = 500;

/** How long an idle connection is kept if the target doesn't announce a timeout, milliseconds. */
const IDLE_TIMEOUT_MS = 4_000;

/** Maximum size of the body of an answer to a message that this daemon originates; its content isn't used. */
const MAX_CALL_BYTES = 65_536;

/** Time after which a connection without a message counts as held, milliseconds: several round trips. */
const HELD_CONNECTION_MS = 50;

export class TargetClient {
  private readonly pools = new Map<string, undici.Pool>();

  /** Pools with the connection of one message. */
  private readonly ownPools = new Set<undici.Pool>();

  private readonly connections: connectionTracker.ConnectionTracker;

  private readonly outOfTurn = new outOfTurnTargets.OutOfTurnTargets(clock.steady);

  constructor(private readonly dependencies: Dependencies) {
    const { source, openSocket = net.connect, paths } = dependencies;
    this.connections = new connectionTracker.ConnectionTracker(source, openSocket, paths);
  }

  /** Sends a message directly, or by way of another entry if the path to its target is lost. */
  send(
    message: targetMessage.TargetMessage,
    handler: targetMessage.ResponseHandler,
  ): targetAttempt.Attempt {
    const isWithheld = this.isWithheldElsewhere(message);
    const callbacks = isWithheld ? undefined : this.dependencies.gate.admit(message);
    const attempt = new targetAttempt.Attempt(message, handler, callbacks);
    if (attempt.isWithheld) return attempt;
    if (this.mustRelay(message.target)) void this.relay(message, attempt);
    else this.dispatch(message, attempt, (failure) => this.sendAround(message, attempt, failure));
    return attempt;
  }

  /** Sends a message of another entry, directly in any case. */
  sendDirectly(
    message: targetMessage.TargetMessage,
    handler: targetMessage.ResponseHandler,
  ): targetAttempt.Attempt {
    const callbacks = this.dependencies.gate.admit(message, true);
    const attempt = new targetAttempt.Attempt(message, handler, callbacks);
    if (attempt.isWithheld) return attempt;
    this.dispatch(message, attempt, (failure) => attempt.finish({ kind: 'notSent', ...failure }));
    return attempt;
  }

  /** Sends a message that this daemon originates, and discards the body of its response. */
  async call(
    {
      target,
      address,
      purpose,
    }: Pick<targetMessage.TargetMessage, 'target' | 'address' | 'purpose'>,
    { method, path, headers, body }: protocols.TargetCall,
    timeoutMs: number,
  ): Promise<targetMessage.CallResult> {
    let head: targetMessage.ResponseHead | undefined;
    let bytes = 0;
    const handler: targetMessage.ResponseHandler = {
      onHead: (received) => {
        head = received;
      },
      onData: (chunk) => {
        bytes += chunk.length;
        if (bytes > MAX_CALL_BYTES) attempt.giveUp(`answer of over ${MAX_CALL_BYTES} bytes`);
      },
    };
    const recipient = { target, address, purpose };
    const message = { ...recipient, method, path, headers, body: Buffer.from(body) };
    const attempt: targetAttempt.Attempt = this.send(message, handler);
    const stopTimeout = clock.startTimeout(timeoutMs, () => attempt.cancel());
    const result = await attempt.result;
    stopTimeout();
    if (result.kind === 'withheld') return result;
    if (result.kind === 'broken' || (result.kind === 'notSent' && result.isRefused === true))
      return { kind: 'refused' };
    if (result.kind !== 'complete' || head === undefined) return { kind: 'silent' };
    return { kind: 'answered', status: head.status, facts: head.facts };
  }

  /** Closes the idle connections of a lifetime that ended; responses in progress continue. */
  forget(target: string): void {
    this.outOfTurn.forget(target);
    this.closePool(target);
  }

  close(): void {
    [...this.pools.values(), ...this.ownPools].forEach((pool) => {
      void pool.destroy();
    });
    this.pools.clear();
    this.ownPools.clear();
  }

  /** Number of targets to which connections aren't shared, as they answered out of turn. */
  get outOfTurnCount(): number {
    return this.outOfTurn.size;
  }

  /** Opens a connection to a target and closes it at once, to see whether there is a path. */
  tryConnection(target: string, address: string): void {
    const [hostname, port] = address.split(':');
    this.connections.connectorFor(target)({ hostname, port }, (_error, socket) => {
      socket?.destroy();
    });
  }

  /**
   * How a target takes a connection over which nothing is sent: `held` if it leaves it open for a while, `refused` if
   * nothing listens, `lost` if it resets or closes it, or doesn't answer.
   */
  holdsConnection(target: string, address: string): Promise<'held' | 'refused' | 'lost'> {
    const [hostname, port] = address.split(':');
    return new Promise((resolve) => {
      this.connections.connectorFor(target)({ hostname, port }, (error, socket) => {
        if (socket === null) {
          const { code = '' } = (error ?? {}) as { code?: string };
          resolve(code === 'ECONNREFUSED' ? 'refused' : 'lost');
          return;
        }
        const stopTimeout = clock.startTimeout(HELD_CONNECTION_MS, () => {
          resolve('held');
          socket.destroy();
        });
        socket.once('close', () => {
          stopTimeout();
          resolve('lost');
        });
        // An end is noticed only while the connection is read.
        socket.resume();
      });
    });
  }

  private dispatch(
    {
      target,
      address,
      method,
      path,
      headers,
      body,
      currentHeaders,
      isRepeat,
      requestId,
    }: targetMessage.TargetMessage,
    attempt: targetAttempt.Attempt,
    onUnreachable: (failure: directDispatch.ConnectionFailure) => void,
  ): void {
    const { connections } = this;
    const { protocol, paths } = this.dependencies;
    const needsOwnConnection =
      isRepeat === true || requestId === '' || this.outOfTurn.includes(target);
    const pool = needsOwnConnection ? this.newPool(target, address) : this.pool(target, address);
    if (needsOwnConnection) this.ownPools.add(pool);
    void attempt.result.then(({ kind }) => {
      if (kind === 'foreign' && isLateCopy(attempt)) this.answeredOutOfTurn(target);
      if (needsOwnConnection) this.destroyOwn(pool);
    });
    pool.dispatch(
      {
        method,
        path,
        headers: currentHeaders?.() ?? headers,
        body: body.length === 0 ? null : body,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      new directDispatch.DirectDispatch({
        ...{ target, attempt, connections, protocol, paths, bodyBytes: body.length },
        onUnreachable,
      }),
    );
  }

  /** Whether the path to a target is lost, and there are entries that may reach it. */
  private mustRelay(target: string): boolean {
    const { paths, relays } = this.dependencies;
    return relays?.hasPeers === true && paths?.isLost(target) === true;
  }

  /** Whether a message would go by way of other entries, which all withhold it. */
  private isWithheldElsewhere(message: targetMessage.TargetMessage): boolean {
    return this.mustRelay(message.target) && this.dependencies.relays?.withholds(message) === true;
  }

  /** No connection could be made; if that is this VM's fault, the message goes by way of another entry. */
  private sendAround(
    message: targetMessage.TargetMessage,
    attempt: targetAttempt.Attempt,
    failure: directDispatch.ConnectionFailure,
  ): void {
    if (this.mustRelay(message.target)) void this.relay(message, attempt);
    else attempt.finish({ kind: 'notSent', ...failure });
  }

  /**
   * Sends a message by way of another entry. One that no entry takes isn't sent directly all the same: on a lost path it
   * could arrive unnoticed, and must then not be sent again.
   */
  private async relay(
    message: targetMessage.TargetMessage,
    attempt: targetAttempt.Attempt,
  ): Promise<void> {
    const { paths, relays } = this.dependencies;
    try {
      const end = await relays?.deliver(message, attempt);
      if (attempt.wasAnswered) paths?.reachedElsewhere(message.target);
      if (end === undefined || end.kind === 'over') return;
      if (end.kind === 'withheld') {
        attempt.finish(end);
        return;
      }
      const { kind, detail } = end;
      attempt.finish({ kind: 'notSent', detail, isConfirmed: kind === 'notSent' });
    } catch (error) {
      // How far the message got isn't known.
      attempt.finish({ kind: 'broken', detail: String(error) });
    }
  }

  private pool(target: string, address: string): undici.Pool {
    const existing = this.pools.get(target);
    if (existing !== undefined) return existing;
    const created = this.newPool(target, address);
    this.pools.set(target, created);
    return created;
  }

  /** Idle connections to the target may have copies under way, and count against the connections that it accepts. */
  private answeredOutOfTurn(target: string): void {
    this.outOfTurn.add(target);
    this.closePool(target);
  }

  /** Closes the idle connections to a target; responses in progress continue. */
  private closePool(target: string): void {
    const pool = this.pools.get(target);
    this.pools.delete(target);
    // Fails only if the pool is closed already.
    void pool?.close().catch(() => undefined);
  }

  private destroyOwn(pool: undici.Pool): void {
    this.ownPools.delete(pool);
    void pool.destroy();
  }

  private newPool(target: string, address: string): undici.Pool {
    return new undici.Pool(`http://${address}`, {
      connect: this.connections.connectorFor(target) as unknown as undici.buildConnector.connector,
      pipelining: 1,
      allowH2: false,
      connections: null,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
    });
  }
}

/** Whether a response to another message may be a copy of an earlier one on its connection. */
function isLateCopy({ connection }: targetAttempt.Attempt): boolean {
  return connection !== undefined && connection.messages > 1;
}
