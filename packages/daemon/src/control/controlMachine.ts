/** The state machine of the settings log: applies commands and passes the resulting deltas to the view. */
import * as domain from '@celerydrift/domain';
import type * as stateMachine from '../replicas/stateMachine';

type Delta = domain.control.state.Delta;

export class ControlMachine implements stateMachine.StateMachine {
  state = new domain.control.state.State();

  constructor(
    private readonly onApplied: (deltas: Delta[], index: number) => void,
    private readonly onRestored: (state: domain.control.state.State) => void,
  ) {}

  apply(command: unknown, index: number): unknown {
    const { answer, delta } = this.state.apply(command as domain.control.state.Command, index);
    this.onApplied(delta === undefined ? [] : [delta], index);
    return answer;
  }

  snapshot(): unknown {
    return this.state.snapshot();
  }

  restore(state: unknown): void {
    this.state = domain.control.state.State.restore(state as domain.control.state.Snapshot);
    this.onRestored(this.state);
  }
}
