/** Executes ledger commands for calls that run at most once, on the ledger shard of the call's key. */
import type * as domain from '@celerydrift/domain';
import type { Result } from 'ts-results';
import type * as controlErrors from '../control/errors';
import type * as logClient from '../control/logClient';

type Command =
  Exclude<domain.ledger.ledger.Command, { kind: 'claim' }> | domain.ledger.ledger.TimedClaim;
type CommandResult = domain.ledger.ledger.CommandResult;

export function shardName(shard: number): string {
  return `ledger-${shard}`;
}

export class LedgerClient {
  constructor(
    private readonly client: logClient.LogClient,
    private readonly hash: domain.shared.hashing.Hash,
    private readonly shards: number,
  ) {}

  async execute(
    command: Command,
    waitLimitMs?: number,
  ): Promise<Result<CommandResult, controlErrors.ControlError>> {
    const log = shardName(this.hash(command.key) % this.shards);
    const executed = await this.client.execute(log, command, waitLimitMs);
    return executed.map(({ answer }) => answer as CommandResult);
  }
}
