/**
 * Evacuated data centres: no request may be sent to their targets until an operator ends the
 * evacuation. The state is replicated through the log and sent to entries as a whole, as there are
 * few data centres; a copy only moves forward by revision.
 */

export interface Evacuation {
  dataCentre: string;
  /** Unix milliseconds by the clock of the keeper that took the order. */
  startedAt: number;
  /** Address of the operator. */
  requestedBy: string;
}

/** All evacuations in force. */
export interface EvacuationState {
  /** Log index of the last change; 0 before the first one. */
  revision: number;
  evacuations: readonly Evacuation[];
}

/** An operator's order as a command of the log. */
export type EvacuationCommand =
  { kind: 'evacuate'; evacuation: Evacuation } | { kind: 'endEvacuation'; dataCentre: string };

export class Evacuations {
  private inForce = new Map<string, Evacuation>();

  private currentRevision = 0;

  get revision(): number {
    return this.currentRevision;
  }

  get state(): EvacuationState {
    return { revision: this.currentRevision, evacuations: [...this.inForce.values()] };
  }

  get size(): number {
    return this.inForce.size;
  }

  isEvacuated(dataCentre: string): boolean {
    return this.inForce.has(dataCentre);
  }

  /** Applies a committed command at its log index; returns whether anything changed. */
  apply(command: EvacuationCommand, index: number): boolean {
    const dataCentre =
      command.kind === 'evacuate' ? command.evacuation.dataCentre : command.dataCentre;
    if (this.isEvacuated(dataCentre) === (command.kind === 'evacuate')) return false;
    if (command.kind === 'evacuate') this.inForce.set(dataCentre, command.evacuation);
    else this.inForce.delete(dataCentre);
    this.currentRevision = index;
    return true;
  }

  /** Replaces the state by another copy's, if that is newer; returns whether anything changed. */
  replace({ revision, evacuations }: EvacuationState): boolean {
    if (revision <= this.currentRevision) return false;
    this.currentRevision = revision;
    this.inForce = new Map(evacuations.map((each) => [each.dataCentre, each]));
    return true;
  }
}
