/** Queries of the control state that must return current data: the leader answers them under its lease. */
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import type * as logHost from '../replicas/logHost';
import type * as peerClient from '../rpc/peerClient';
import type * as contacts from './contacts';
import type * as controlMachine from './controlMachine';
import type * as errors from './errors';
import type * as stopProgress from './stopProgress';

export type Query =
  | { kind: 'subtree'; name: string }
  | { kind: 'subtrees' }
  | { kind: 'audit'; limit: number }
  | { kind: 'inForce'; index: number }
  | { kind: 'stops' };

export interface InForceReport {
  index: number;
  /** Number of registered daemons. */
  registered: number;
  /** Number of daemons in contact whose view holds the index. */
  inForce: number;
  /** Daemons in contact whose view doesn't hold the index yet. */
  missing: string[];
}

export type QueryResponse =
  { kind: 'answer'; content: unknown } | { kind: 'notLeader'; leader: string };

export class QueryServer {
  constructor(
    private readonly host: logHost.LogHost,
    private readonly machine: controlMachine.ControlMachine,
    private readonly contacts: contacts.Contacts,
    private readonly stops: stopProgress.StopProgress,
    private readonly now: () => number,
  ) {}

  answer(request: Query): QueryResponse {
    if (!this.host.hasFreshState()) {
      return { kind: 'notLeader', leader: this.host.leaderAddress };
    }
    return { kind: 'answer', content: this.resultOf(request) };
  }

  private resultOf(request: Query): unknown {
    const { state } = this.machine;
    if (request.kind === 'subtree') return state.tree.get(request.name) ?? null;
    if (request.kind === 'subtrees') return state.tree.list();
    if (request.kind === 'audit') return state.history(request.limit);
    if (request.kind === 'inForce') return this.inForce(request.index);
    return this.stops.report([...state.stops.values()]);
  }

  /** A daemon without a fresh lease admits no requests, so only daemons in contact must hold the index. */
  private inForce(index: number): InForceReport {
    const now = this.now();
    const ids = [...this.machine.state.daemons.keys()];
    const leaseMs = domain.membership.freshness.DEFAULT_LEASE;
    const reachable = ids.filter((id) => now - this.contacts.lastContactAt(id) <= leaseMs);
    const missing = reachable.filter((id) => this.contacts.viewIndexOf(id) < index);
    const inForce = reachable.length - missing.length;
    return { index, registered: ids.length, inForce, missing };
  }
}

const MAX_ROUNDS = 20;

const ROUND_PAUSE_MS = 150;

export class QueryClient {
  constructor(
    private readonly client: peerClient.PeerClient,
    private readonly replicas: () => string[],
  ) {}

  async send(request: Query): Promise<Result<unknown, errors.ControlError>> {
    let leader = '';
    for (let round = 0; round < MAX_ROUNDS; round++) {
      const replicas = this.replicas();
      const candidates =
        leader === '' ? replicas : [leader, ...replicas.filter((a) => a !== leader)];
      for (const address of candidates) {
        const call = { timeoutMs: 1_000 };
        const response = await this.client.call<QueryResponse>(address, 'query', request, call);
        if (response.ok && response.val.kind === 'answer') return Ok(response.val.content);
        leader = response.ok ? (response.val as { leader: string }).leader : '';
        if (leader !== '' && leader !== address) break;
      }
      await new Promise((resolve) => {
        setTimeout(resolve, ROUND_PAUSE_MS);
      });
    }
    return Err({ kind: 'noLeader', detail: 'no leader answered' });
  }
}
