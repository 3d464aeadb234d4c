/**
 * Tells orders about evacuations that arrive late from new ones. A connection may deliver a forwarded order seconds after
 * its operator has given it up, repeated it elsewhere and given the opposite one, and the log would take it for the newest.
 * So a keeper asks the leader for its position in the sequence of orders while the operator still waits, and the order is
 * taken only if the leader has taken no opposite one since. Positions end with the leader's term.
 */
import type * as domain from '@celerydrift/domain';
import type * as messages from '../fleet/messages';

type EvacuationCommand = domain.evacuation.evacuations.EvacuationCommand;

/** The last order that was taken about a data centre. */
interface TakenOrder {
  kind: EvacuationCommand['kind'];
  number: number;
}

export class OrderSequence {
  private term: number | undefined;

  /** Number of orders taken in the term. */
  private taken = 0;

  private readonly latest = new Map<string, TakenOrder>();

  /** The position of an order that is about to be sent to the leader of this term. */
  position(term: number): messages.OrderPosition {
    this.enter(term);
    return { term, taken: this.taken };
  }

  /**
   * Takes an order into the sequence; returns false if it is outdated. One without a position, from a keeper of an earlier
   * version, is never outdated.
   */
  take(
    command: EvacuationCommand,
    position: messages.OrderPosition | undefined,
    term: number,
  ): boolean {
    this.enter(term);
    if (position !== undefined && this.isOutdated(command, position)) return false;
    this.taken += 1;
    this.latest.set(dataCentreOf(command), { kind: command.kind, number: this.taken });
    return true;
  }

  private isOutdated(command: EvacuationCommand, position: messages.OrderPosition): boolean {
    if (position.term !== this.term) return true;
    const latest = this.latest.get(dataCentreOf(command));
    // A late order like the latest one changes nothing.
    if (latest === undefined || latest.kind === command.kind) return false;
    return latest.number > position.taken;
  }

  private enter(term: number): void {
    if (term === this.term) return;
    this.term = term;
    this.taken = 0;
    this.latest.clear();
  }
}

export function dataCentreOf(command: EvacuationCommand): string {
  return command.kind === 'evacuate' ? command.evacuation.dataCentre : command.dataCentre;
}
