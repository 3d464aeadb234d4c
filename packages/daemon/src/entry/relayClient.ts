/**
 * Sends messages by way of other entries where this one's path to their target is lost. A relay sends them directly or
 * not at all, so a message takes one hop at most. Which targets a message may go to, how often and until when is decided
 * here, at the entry that has the caller.
 */
import type * as domain from '@celerydrift/domain';
import * as undici from 'undici';
import type * as protocols from '../edges/protocols';
import type * as observer from '../observability/observer';
import * as authenticatedSocket from '../rpc/authenticatedSocket';
import type * as connectionTracker from './connectionTracker';
import type * as targetAttempt from './targetAttempt';
import * as relayDispatch from './relayDispatch';
import type * as relayPeers from './relayPeers';
import * as relayProtocol from './relayProtocol';
import * as targetMessage from './targetMessage';

export interface Dependencies {
  peers: Pick<
    relayPeers.RelayPeers,
    'choose' | 'begin' | 'failed' | 'size' | 'withheld' | 'withheldMs'
  >;
  protocol: Pick<protocols.TrafficProtocol, 'responseMetadata'>;
  secret: string;
  source: string | undefined;
  /** The scopes that a target belongs to. */
  scopesOf: (target: string) => readonly domain.reachability.targetPaths.Scope[];
  observer: observer.Observer;
}

/**
 * How a message by way of other entries ended; `withheld` if none of them took it and its target is unavailable to one,
 * `unavailable` if none took it for another reason.
 */
export type RelayEnd =
  relayDispatch.DispatchEnd | { kind: 'withheld' } | { kind: 'unavailable'; detail: string };

/** Number of relays that a message is offered to. */
const MAX_RELAYS = 3;

/** Time limit for a connection to a relay and its handshake, milliseconds: ten round trips between data centres. */
const CONNECT_TIMEOUT_MS = 150;

/** An idle connection to a relay is closed after this time, milliseconds. */
const IDLE_TIMEOUT_MS = 4_000;

export class RelayClient {
  private readonly pools = new Map<string, undici.Pool>();

  constructor(private readonly dependencies: Dependencies) {}

  /** Whether any other entry is known that relays messages. */
  get hasPeers(): boolean {
    return this.dependencies.peers.size > 0;
  }

  /** Whether all entries that may relay a message would withhold it from its target. */
  withholds({ target, purpose }: Pick<targetMessage.TargetMessage, 'target' | 'purpose'>): boolean {
    const { peers, scopesOf, observer: observe } = this.dependencies;
    if (!targetMessage.startsWork(purpose)) return false;
    const isWithheld = peers.withheldMs(target, scopesOf(target)) > 0;
    if (isWithheld) observe.count(`relay.withheld.${purpose}`);
    return isWithheld;
  }

  /** Offers the message to one relay after the other; resolves when the attempt is over or may go another way. */
  async deliver(
    message: targetMessage.TargetMessage,
    attempt: targetAttempt.Attempt,
  ): Promise<RelayEnd> {
    const { peers, observer: observe, scopesOf } = this.dependencies;
    const refusals: string[] = [];
    const tried: string[] = [];
    const scopes = scopesOf(message.target);
    const target = targetMessage.startsWork(message.purpose) ? message.target : undefined;
    let isWithheld = false;
    while (tried.length < MAX_RELAYS) {
      const relay = await peers.choose({ excluded: tried, scopes, target });
      if (attempt.isOver) return { kind: 'over' };
      if (relay === undefined) break;
      tried.push(relay);
      observe.count(`relay.sent.${message.purpose}`);
      const end = await this.deliverBy(relay, message, attempt);
      if (end.kind !== 'refused' && end.kind !== 'declined') return end;
      observe.count('relay.refused');
      refusals.push(end.detail);
      if (end.kind === 'declined' && end.withheld !== undefined) {
        isWithheld = true;
        peers.withheld(relay, message.target, end.withheld);
      }
    }
    // Each end of this kind adds to what is known of the relays, so that requests don't return here in a loop.
    if (isWithheld || (tried.length === 0 && this.withholds(message))) return { kind: 'withheld' };
    return { kind: 'unavailable', detail: refusals.at(-1) ?? 'no other VM reaches targets' };
  }

  close(): void {
    this.pools.forEach((pool) => {
      void pool.destroy();
    });
    this.pools.clear();
  }

  private async deliverBy(
    relay: string,
    { body, currentHeaders, ...head }: targetMessage.TargetMessage,
    attempt: targetAttempt.Attempt,
  ): Promise<relayDispatch.DispatchEnd> {
    const { peers, protocol } = this.dependencies;
    const ended = peers.begin(relay);
    const encoded = relayProtocol.encode({ ...head, headers: currentHeaders?.() ?? head.headers });
    const end = await new Promise<relayDispatch.DispatchEnd>((onEnd) => {
      this.pool(relay).dispatch(
        {
          method: 'POST',
          path: relayProtocol.RELAY_PATH,
          headers: [relayProtocol.MESSAGE_HEADER, encoded],
          body: body.length === 0 ? null : body,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
        new relayDispatch.RelayDispatch({ attempt, relay, protocol, onEnd }),
      );
    });
    ended();
    if (end.kind === 'refused') peers.failed(relay);
    return end;
  }

  private pool(relay: string): undici.Pool {
    const existing = this.pools.get(relay);
    if (existing !== undefined) return existing;
    const { secret, source: localAddress } = this.dependencies;
    const options = { secret, localAddress, timeoutMs: CONNECT_TIMEOUT_MS };
    const connect: connectionTracker.Connector = (endpoint, callback) => {
      authenticatedSocket.open(endpoint, options, callback);
    };
    const created = new undici.Pool(`http://${relay}`, {
      connect: connect as unknown as undici.buildConnector.connector,
      pipelining: 1,
      allowH2: false,
      connections: null,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
    });
    this.pools.set(relay, created);
    return created;
  }
}
