/** Checks operators' orders to evacuate a data centre, and passes valid ones to the leader as commands. */
import * as domain from '@celerydrift/domain';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';

type EvacuationCommand = domain.evacuation.evacuations.EvacuationCommand;

export interface Dependencies {
  isEnabled: boolean;
  /** Data centres named in the settings; if there are none, the announced ones are the known ones. */
  dataCentres: readonly string[];
  /** Data centres of the keeper itself and of the targets that it knows. */
  announcedDataCentres: () => string[];
  isEvacuated: (dataCentre: string) => boolean;
  /** Hands a command to the leader, unless it is given up; resolves once a quorum has it. */
  submit: (
    command: EvacuationCommand,
    isGivenUp: () => boolean,
  ) => Promise<messages.EvacuateAnswer>;
  observer: observer.Observer;
  /** The time of day, in Unix milliseconds. */
  timeOfDay: () => number;
}

export interface Order {
  kind: EvacuationCommand['kind'];
  /** Undefined if the operator's call doesn't contain a readable name. */
  dataCentre: string | undefined;
  /** Address of the operator. */
  requestedBy: string;
  /** Whether the operator has closed the connection and may have sent the order elsewhere. */
  isGivenUp: () => boolean;
}

export type OrderResult =
  | { kind: 'disabled' }
  | { kind: 'malformed' }
  | { kind: 'unknown'; known: string[] }
  | { kind: 'unavailable'; reason: string }
  | { kind: 'accepted'; revision: number };

/** Maximum length of a refused name in a log line: the longest valid name. */
const MAX_LOGGED_NAME_LENGTH = 63;

export class EvacuationOrders {
  constructor(private readonly dependencies: Dependencies) {}

  get isEnabled(): boolean {
    return this.dependencies.isEnabled;
  }

  async handle(order: Order): Promise<OrderResult> {
    const { isEnabled, isEvacuated, dataCentres } = this.dependencies;
    const { kind, dataCentre, requestedBy } = order;
    if (!isEnabled) return { kind: 'disabled' };
    if (dataCentre === undefined || !domain.settings.schema.NAME.test(dataCentre)) {
      this.logRefusal(order, 'malformed name');
      return { kind: 'malformed' };
    }
    const known = this.knownDataCentres();
    // An evacuation can be ended after its data centre has been removed from the settings or, where these list none, by a
    // repeated order after its last target is gone.
    const isEnd = kind === 'endEvacuation' && dataCentres.length === 0;
    const isKnown = known.includes(dataCentre) || isEvacuated(dataCentre) || isEnd;
    if (!isKnown) {
      this.logRefusal(order, 'unknown data centre');
      return { kind: 'unknown', known };
    }
    const command = this.commandOf(kind, dataCentre, requestedBy);
    const answer = await this.dependencies.submit(command, order.isGivenUp);
    if (answer.kind === 'unavailable') {
      this.logRefusal(order, answer.detail);
      return { kind: 'unavailable', reason: answer.detail };
    }
    const { revision } = answer;
    this.dependencies.observer.log('evacuationAccepted', {
      order: kind,
      dataCentre,
      requestedBy,
      revision,
    });
    return { kind: 'accepted', revision };
  }

  private commandOf(
    kind: EvacuationCommand['kind'],
    dataCentre: string,
    requestedBy: string,
  ): EvacuationCommand {
    if (kind === 'endEvacuation') return { kind, dataCentre };
    const startedAt = this.dependencies.timeOfDay();
    return { kind, evacuation: { dataCentre, startedAt, requestedBy } };
  }

  private knownDataCentres(): string[] {
    const { dataCentres, announcedDataCentres } = this.dependencies;
    const known = dataCentres.length > 0 ? dataCentres : announcedDataCentres();
    return [...new Set(known)].sort();
  }

  private logRefusal({ kind, dataCentre, requestedBy }: Order, reason: string): void {
    this.dependencies.observer.log('evacuationRefused', {
      order: kind,
      dataCentre: dataCentre?.slice(0, MAX_LOGGED_NAME_LENGTH),
      requestedBy,
      reason,
    });
  }
}
