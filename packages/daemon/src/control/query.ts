/** Reads of the control state that must be current: the leader answers them under its lease. */
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import type * as logHost from '../replicas/logHost';
import type * as peerClient from '../rpc/peerClient';
import type * as contacts from './contacts';
import type * as controlMachine from './controlMachine';
import type * as errors from './errors';
import type * as stopProgress from './stopProgress';

export type Question =
  | { kind: 'subtree'; name: string }
  | { kind: 'subtrees' }
  | { kind: 'audit'; limit: number }
  | { kind: 'inForce'; index: number }
  | { kind: 'stops' };

export interface InForce {
  index: number;
  registered: number;
  inForce: number;
  /** Daemons that are alive but don't hold the index yet. */
  missing: string[];
}

export type Answered = { kind: 'answer'; content: unknown } | { kind: 'notLeader'; leader: string };

export class QueryServer {
  constructor(
    private readonly host: logHost.LogHost,
    private readonly machine: controlMachine.ControlMachine,
    private readonly contacts: contacts.Contacts,
    private readonly stops: stopProgress.StopProgress,
    private readonly now: () => number,
  ) {}

  answer(question: Question): Answered {
    if (!this.host.hasFreshState()) {
      return { kind: 'notLeader', leader: this.host.leaderAddress };
    }
    return { kind: 'answer', content: this.content(question) };
  }

  private content(question: Question): unknown {
    const { state } = this.machine;
    if (question.kind === 'subtree') return state.tree.get(question.name) ?? null;
    if (question.kind === 'subtrees') return state.tree.list();
    if (question.kind === 'audit') return state.history(question.limit);
    if (question.kind === 'inForce') return this.inForce(question.index);
    return this.stops.report([...state.stops.values()]);
  }

  /** A daemon that lost its freshness admits nothing, so only those in touch must hold the index. */
  private inForce(index: number): InForce {
    const now = this.now();
    const ids = [...this.machine.state.daemons.keys()];
    const lease = domain.membership.freshness.DEFAULT_LEASE;
    const inTouch = ids.filter((id) => now - this.contacts.at(id) <= lease);
    const missing = inTouch.filter((id) => this.contacts.indexOf(id) < index);
    const inForce = inTouch.length - missing.length;
    return { index, registered: ids.length, inForce, missing };
  }
}

const ROUNDS = 20;

const ROUND_PAUSE_MS = 150;

export class QueryClient {
  constructor(
    private readonly client: peerClient.PeerClient,
    private readonly replicas: () => string[],
  ) {}

  async ask(question: Question): Promise<Result<unknown, errors.ControlError>> {
    let leader = '';
    for (let round = 0; round < ROUNDS; round++) {
      const replicas = this.replicas();
      const order = leader === '' ? replicas : [leader, ...replicas.filter((a) => a !== leader)];
      for (const address of order) {
        const call = { timeoutMs: 1_000 };
        const answer = await this.client.call<Answered>(address, 'query', question, call);
        if (answer.ok && answer.val.kind === 'answer') return Ok(answer.val.content);
        leader = answer.ok ? (answer.val as { leader: string }).leader : '';
        if (leader !== '' && leader !== address) break;
      }
      await new Promise((resolve) => {
        setTimeout(resolve, ROUND_PAUSE_MS);
      });
    }
    return Err({ kind: 'noLeader', detail: 'no leader answered' });
  }
}
