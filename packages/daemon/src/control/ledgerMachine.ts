/** The state machine of one ledger shard. */
import * as domain from '@celerydrift/domain';
import type * as stateMachine from '../replicas/stateMachine';

export class LedgerMachine implements stateMachine.StateMachine {
  ledger = new domain.ledger.ledger.Ledger();

  apply(command: unknown): unknown {
    return this.ledger.apply(command as domain.ledger.ledger.Command);
  }

  snapshot(): unknown {
    return this.ledger.snapshot();
  }

  restore(state: unknown): void {
    this.ledger = domain.ledger.ledger.Ledger.restore(state as domain.ledger.ledger.Snapshot);
  }
}
