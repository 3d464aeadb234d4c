/**
 * The replicated catalogue and the evacuations of data centres as a state machine of the log. A command with a `kind`
 * is an order to evacuate or its end; one without is a packed catalogue. The snapshot is the packed catalogue too, with
 * an optional field for the evacuations, so that the previous version reads it.
 */
import * as domain from '@celerydrift/domain';
import * as stateMachine from '../replicas/stateMachine';

type PackedCatalogue = domain.catalogue.newestCatalogue.PackedCatalogue;
type EvacuationCommand = domain.evacuation.evacuations.EvacuationCommand;
type EvacuationState = domain.evacuation.evacuations.EvacuationState;

type Command = PackedCatalogue | EvacuationCommand;

/** A snapshot; undefined before the first catalogue and evacuation. */
type Snapshot = (PackedCatalogue & { evacuations?: EvacuationState }) | undefined | null;

/**
 * Stands for a missing catalogue in a snapshot with evacuations; a version that knows no evacuations ignores version 0.
 * A packed catalogue is never empty.
 */
const NO_CATALOGUE: PackedCatalogue = { version: 0, packed: new Uint8Array() };

/** Result of an order: the revision of the evacuations afterwards. */
export interface EvacuationResult {
  revision: number;
}

export class CatalogueMachine implements stateMachine.StateMachine {
  readonly catalogue = new domain.catalogue.newestCatalogue.NewestCatalogue();

  readonly evacuations = new domain.evacuation.evacuations.Evacuations();

  private isNotificationQueued = false;

  /** `onChange` is called once all commands committed together are applied. */
  constructor(private readonly onChange: () => void) {}

  apply(
    command: unknown,
    index: number,
  ): domain.catalogue.newestCatalogue.ApplyResult | EvacuationResult {
    const known = command as Command;
    if (!('kind' in known)) {
      const result = this.catalogue.apply(known);
      if (result.changed) this.queueNotification();
      return result;
    }
    const { kind } = known;
    if (kind !== 'evacuate' && kind !== 'endEvacuation') {
      throw new stateMachine.UnknownCommand(kind, index);
    }
    if (this.evacuations.apply(known, index)) this.queueNotification();
    return { revision: this.evacuations.revision };
  }

  snapshot(): unknown {
    const { newest } = this.catalogue;
    const { state } = this.evacuations;
    if (state.revision === 0) return newest;
    return { ...(newest ?? NO_CATALOGUE), evacuations: state } satisfies Snapshot;
  }

  restore(state: unknown): void {
    const snapshot = state as Snapshot;
    if (snapshot === undefined || snapshot === null) return;
    const { version, packed, evacuations } = snapshot;
    if (packed.length > 0) this.catalogue.restore({ version, packed });
    if (evacuations !== undefined) this.evacuations.replace(evacuations);
    this.onChange();
  }

  /**
   * A new leader applies all versions since the snapshot at once. Decoding each of them took 80 ms after an outage of
   * all keepers, while every entry waited for the last one.
   */
  private queueNotification(): void {
    if (this.isNotificationQueued) return;
    this.isNotificationQueued = true;
    queueMicrotask(() => {
      this.isNotificationQueued = false;
      this.onChange();
    });
  }
}
