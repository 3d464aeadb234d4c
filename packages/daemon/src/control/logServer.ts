/**
 * Executes commands for the logs on behalf of other daemons while this replica leads. Decides which
 * commands require contact with a majority of the registered daemons.
 */
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as logHost from '../replicas/logHost';
import type * as contacts from './contacts';

export interface ExecuteRequest {
  log: string;
  command: unknown;
}

export type ExecuteResponse =
  | { kind: 'done'; index: number; answer: unknown }
  | { kind: 'refused'; reason: string; leader: string }
  | { kind: 'unknown'; reason: string; leader: string };

export const SETTINGS_LOG = 'settings';

const MAJORITY_TIMEOUT_MS = 5_000;

const MAJORITY_POLL_MS = 5;

type Command = domain.control.state.Command;

/**
 * Whether a command must not be accepted without a majority: commands that a daemon with stale settings
 * would violate, and commands that change the set of registered daemons from which the majority is counted.
 * Audit notes (`note`) and new addresses of registered daemons do neither.
 */
function needsMajority(command: Command, registered: ReadonlyMap<string, unknown>): boolean {
  if (command.kind === 'note') return false;
  return !(command.kind === 'register' && registered.has(command.daemon.id));
}

export class LogServer {
  constructor(
    private readonly hosts: ReadonlyMap<string, logHost.LogHost>,
    private readonly registered: () => ReadonlyMap<string, unknown>,
    private readonly contacts: contacts.Contacts,
    private readonly now: () => number,
  ) {}

  async execute({ log, command }: ExecuteRequest): Promise<ExecuteResponse> {
    const host = this.hosts.get(log);
    if (host === undefined) return { kind: 'refused', reason: 'no such log here', leader: '' };
    const leader = host.leaderAddress;
    if (!host.isLeader) return { kind: 'refused', reason: 'notLeader', leader };
    if (log === SETTINGS_LOG && !this.mayAccept(command as Command)) {
      return { kind: 'refused', reason: 'noMajorityOfDaemons', leader };
    }
    const result = await host.propose(this.withLeaderTime(command));
    if (result.ok) {
      const isReplicated =
        log !== SETTINGS_LOG || (await this.waitForMajority(command as Command, result.val.index));
      if (isReplicated) return { kind: 'done', ...result.val };
      return { kind: 'unknown', reason: 'not yet held by a majority of daemons', leader };
    }
    const { kind } = result.val;
    const isUndecided = kind === 'lost' || kind === 'timeout';
    return { kind: isUndecided ? 'unknown' : 'refused', reason: kind, leader: result.val.leader };
  }

  /**
   * Waits until a majority of the registered daemons hold the change. Otherwise a leader could accept a
   * change and then be partitioned, while a majority that never received it keeps serving without it.
   */
  private async waitForMajority(command: Command, index: number): Promise<boolean> {
    const { isHeldByMajority } = domain.membership.freshness;
    const deadline = this.now() + MAJORITY_TIMEOUT_MS;
    const needsMajorityToHold = command.kind === 'change' || command.kind === 'announceStop';
    while (needsMajorityToHold && this.now() < deadline) {
      const ids = [...this.registered().keys()];
      if (isHeldByMajority(index, ids, (id) => this.contacts.viewIndexOf(id))) return true;
      await new Promise((resolve) => {
        setTimeout(resolve, MAJORITY_POLL_MS);
      });
    }
    return !needsMajorityToHold;
  }

  private mayAccept(command: Command): boolean {
    const registered = this.registered();
    if (!needsMajority(command, registered)) return true;
    const ids = [...registered.keys()];
    const { mayAccept, DEFAULT_LEASE } = domain.membership.freshness;
    return mayAccept(this.now(), ids, (id) => this.contacts.lastContactAt(id), DEFAULT_LEASE);
  }

  /** Adds the time of the leader's clock, so that all replicas apply the same time. */
  private withLeaderTime(command: unknown): unknown {
    const at = clock.timeOfDay();
    const claim = command as domain.ledger.ledger.TimedClaim;
    if (claim.kind === 'claim') return { ...claim, at, deadline: at + claim.timeLeftMs };
    const controlCommand = command as Command;
    if (controlCommand.kind === 'change')
      return { ...controlCommand, change: { ...controlCommand.change, at } };
    if (controlCommand.kind === 'announceStop')
      return { ...controlCommand, stop: { ...controlCommand.stop, at } };
    return { ...controlCommand, at };
  }
}
