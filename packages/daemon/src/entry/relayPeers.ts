/**
 * The entries that relay messages for this one: a few that the leader names, some of this data centre and some of
 * others. Their status is asked for only while paths are lost; the list is kept without a leader.
 */
import * as domain from '@celerydrift/domain';
import type { Result } from 'ts-results';
import type * as messages from '../fleet/messages';
import * as clock from '../clock';
import type * as errors from '../rpc/errors';
import type * as peerClient from '../rpc/peerClient';
import type * as livenessVerdict from './livenessVerdict';
import type * as relayProtocol from './relayProtocol';

export interface Dependencies {
  client: Pick<peerClient.PeerClient, 'call'>;
  dataCentre: string;
  now: () => number;
  /** Called when a relay has said which targets it withholds. */
  onWithheld?: () => void;
}

/** Timeout of a status call, milliseconds: ten round trips between data centres, and an entry on a slow VM. */
const STATUS_TIMEOUT_MS = 400;

/** A status is used for this long, milliseconds: three intervals between the calls. One that refuses is left out at once. */
const STATUS_VALID_MS = 1_200;

/** A relay in another data centre is used once those of this one have so many more messages in flight. */
const REMOTE_HANDICAP = 8;

/** Number of relays that are asked about a target: two of them may have lost their paths as well. */
const MAX_ASKED = 3;

/** Time in which others may contradict a relay that a target refused, milliseconds; one that is frozen isn't waited for. */
const OTHERS_WAIT_MS = 100;

/** What counts where relays see a target differently. */
const RESULTS_BY_WEIGHT: readonly ReachResult[] = ['alive', 'refused', 'silent', 'missing'];

/** Timeout of a question about a target, milliseconds: a liveness probe and a round trip. */
const REACH_TIMEOUT_MS = 350;

type ReachResult = livenessVerdict.ReachResult;
type Scope = domain.reachability.targetPaths.Scope;

/** Which relays a message may go to. */
export interface Restriction {
  /** Addresses of relays that were tried. */
  excluded?: readonly string[];
  /** Scopes of its target; a relay that has lost one of them can't reach it. */
  scopes?: readonly Scope[];
  /** Its target, which the relay must not withhold; absent for a message that starts nothing there. */
  target?: string;
}

interface Peer extends messages.Relay {
  status: relayProtocol.RelayStatus;
  /** When the status was received. */
  at: number;
  withheld: domain.reachability.withheldTargets.WithheldTargets;
  /** Messages in flight from this entry. */
  inFlight: number;
  /** Whether the last call got no answer: its connection may be silent for good, so the next call opens another one. */
  isUnanswered: boolean;
}

export class RelayPeers {
  private peers = new Map<string, Peer>();

  private refreshing: Promise<void> | undefined;

  constructor(private readonly dependencies: Dependencies) {}

  /** Replaces the list; an empty one is ignored, as the leader may not know all entries yet. */
  replace(relays: readonly messages.Relay[]): void {
    if (relays.length === 0) return;
    const known = this.peers;
    this.peers = new Map(
      relays.map((relay) => [relay.address, known.get(relay.address) ?? unasked(relay)]),
    );
    // Opens the connections, so that a later question takes one round trip.
    void this.refresh();
  }

  get size(): number {
    return this.peers.size;
  }

  /** Whether a relay that was asked lately is ready. */
  get isAvailable(): boolean {
    return this.ready().length > 0;
  }

  /** Whether a relay answered lately that it relays messages. */
  isReady(address: string): boolean {
    return this.ready().some((peer) => peer.address === address);
  }

  /** Address of the ready relay with the fewest messages, asking them all if none is known to be ready. */
  async choose(restriction: Restriction = {}): Promise<string | undefined> {
    return (await this.candidates(restriction)).at(0)?.address;
  }

  /** Asks all relays for their status; calls made meanwhile share one round. */
  refresh(): Promise<void> {
    this.refreshing ??= this.askAll().finally(() => {
      this.refreshing = undefined;
    });
    return this.refreshing;
  }

  /** Counts a message that a relay got; the result is to be called when it is over. */
  begin(address: string): () => void {
    const peer = this.peers.get(address);
    if (peer !== undefined) peer.inFlight += 1;
    return () => {
      if (peer !== undefined) peer.inFlight -= 1;
    };
  }

  /** A relay took no message: it isn't used until it answers again. */
  failed(address: string): void {
    const peer = this.peers.get(address);
    if (peer !== undefined) peer.at = -Infinity;
  }

  /** A relay took no message because it sends the target nothing now. */
  withheld(address: string, target: string, { forMs }: relayProtocol.Withheld): void {
    this.peers.get(address)?.withheld.refused(target, forMs, this.dependencies.now());
    this.dependencies.onWithheld?.();
  }

  /** Targets that a ready relay withholds. */
  get withheldTargets(): string[] {
    const now = this.dependencies.now();
    return [...new Set(this.ready().flatMap(({ withheld }) => withheld.targets(now)))];
  }

  /** Time until a relay that reaches a target sends it requests, milliseconds; 0 if one does. */
  withheldMs(target: string, scopes: readonly Scope[]): number {
    const relays = this.ready({ scopes }).map(({ withheld }) => withheld);
    const now = this.dependencies.now();
    return domain.reachability.withheldTargets.leastWaitMs(relays, target, now);
  }

  /**
   * How a target responds to other entries: the best that one of them sees, or undefined if none can tell. Several are
   * asked, as one that hasn't noticed yet that it lost its own paths takes every target for dead.
   */
  async reach(
    request: relayProtocol.ReachRequest,
    scopes: readonly Scope[],
  ): Promise<ReachResult | undefined> {
    const ready = this.ready({ scopes });
    // A crash must be reported within a few round trips, so nobody's status is asked for first.
    const asked = (ready.length > 0 ? ready : this.spread()).slice(0, MAX_ASKED);
    const seen: ReachResult[] = [];
    const answers = asked.map(async (peer) => {
      const result = await this.askAbout(peer, request);
      if (result !== undefined) seen.push(result);
      return result;
    });
    const decisions = answers.map(async (answer) => {
      const result = await answer;
      if (result === 'refused') await clock.sleep(OTHERS_WAIT_MS);
      else if (result !== 'alive') throw new Error('undecided');
    });
    const isDecided = Promise.any(decisions).catch(() => undefined);
    await Promise.race([isDecided, Promise.all(answers)]);
    return RESULTS_BY_WEIGHT.find((each) => seen.includes(each));
  }

  private async askAbout(
    peer: Peer,
    request: relayProtocol.ReachRequest,
  ): Promise<ReachResult | undefined> {
    const answer = await this.call<relayProtocol.ReachAnswer>(
      peer,
      'reach',
      request,
      REACH_TIMEOUT_MS,
    );
    if (answer.err) return undefined;
    const { isAlive, isSilent, doOthersRespond } = answer.val;
    if (isAlive === undefined) return doOthersRespond === true ? 'missing' : undefined;
    if (isAlive) return 'alive';
    return isSilent === true ? 'silent' : 'refused';
  }

  /** Calls a relay; a late answer doesn't fail the other calls on its connection. */
  private async call<T>(
    peer: Peer,
    method: string,
    request: object,
    timeoutMs: number,
  ): Promise<Result<T, errors.CallError>> {
    const options = { timeoutMs, toleratesDelay: true, fresh: peer.isUnanswered };
    Object.assign(peer, { isUnanswered: false });
    const answer = await this.dependencies.client.call<T>(peer.address, method, request, options);
    if (answer.err && answer.val.kind === 'timeout') Object.assign(peer, { isUnanswered: true });
    return answer;
  }

  /** All relays, those of this data centre and of others in turn. */
  private spread(): Peer[] {
    const all = [...this.peers.values()];
    const isLocal = ({ dataCentre }: Peer): boolean => dataCentre === this.dependencies.dataCentre;
    const remote = all.filter((each) => !isLocal(each));
    const local = all.filter(isLocal);
    return all
      .flatMap((_, i) => [remote.at(i), local.at(i)].filter((each) => each !== undefined))
      .slice(0, all.length);
  }

  /** The ready relays, the least loaded first. */
  private async candidates(restriction: Restriction): Promise<Peer[]> {
    const { target, ...others } = restriction;
    if (this.ready(others).length === 0) await this.refresh();
    const { dataCentre } = this.dependencies;
    const loadOf = (peer: Peer): number => {
      const handicap = peer.dataCentre === dataCentre ? 0 : REMOTE_HANDICAP;
      return Math.max(peer.inFlight, peer.status.active) + handicap;
    };
    return this.ready(restriction).sort((a, b) => loadOf(a) - loadOf(b));
  }

  /** Resolves once one is ready or all have answered. */
  private async askAll(): Promise<void> {
    const askedAt = this.dependencies.now();
    const asked = [...this.peers.values()].map(async (peer) => {
      const answer = await this.call<relayProtocol.RelayStatus>(
        peer,
        'relayStatus',
        {},
        STATUS_TIMEOUT_MS,
      );
      if (answer.err || !answer.val.isReady) {
        this.failed(peer.address);
        throw new Error('not ready');
      }
      Object.assign(peer, { status: answer.val, at: this.dependencies.now() });
      peer.withheld.stated(answer.val.withheld, askedAt);
      this.dependencies.onWithheld?.();
    });
    await Promise.any(asked).catch(() => undefined);
  }

  private ready({ excluded = [], scopes = [], target }: Restriction = {}): Peer[] {
    const now = this.dependencies.now();
    return [...this.peers.values()].filter(({ address, status, at, withheld }) => {
      const isKnown = status.isReady && now - at <= STATUS_VALID_MS;
      const isCut = scopes.some((scope) => status.lost.includes(scope));
      const isWithheld = target !== undefined && withheld.waitMs(target, now) > 0;
      return isKnown && !isCut && !isWithheld && !excluded.includes(address);
    });
  }
}

function unasked(relay: messages.Relay): Peer {
  const status = { isReady: false, active: 0, lost: [] };
  const withheld = new domain.reachability.withheldTargets.WithheldTargets();
  return { ...relay, status, at: -Infinity, withheld, inFlight: 0, isUnanswered: false };
}
