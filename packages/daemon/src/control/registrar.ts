/**
 * Maintains the set of participants: founds the replica set, registers this daemon and, on the leader,
 * unregisters daemons that have been silent for a long time.
 */
import type * as domain from '@celerydrift/domain';
import type * as configuration from '../configuration/configuration';
import type * as observer from '../observability/observer';
import * as founding from '../replicas/founding';
import type * as replicaSet from '../replicas/replicaSet';
import type * as peerClient from '../rpc/peerClient';
import type * as contacts from './contacts';
import type * as logClient from './logClient';
import * as logServer from './logServer';

type Command = domain.control.state.Command;

export interface Options {
  configuration: configuration.Configuration;
  address: string;
  view: domain.control.view.View;
  contacts: contacts.Contacts;
  logs: logClient.LogClient;
  peers: peerClient.PeerClient;
  observer: observer.Observer;
  now: () => number;
}

/** Silence after which a daemon is unregistered, in milliseconds. */
const UNREGISTER_AFTER_MS = 600_000;

/** Wait limit of one command in milliseconds; it is tried again with the next round of duties. */
const ATTEMPT_TIMEOUT_MS = 1_500;

export class Registrar {
  private wasSpare = false;

  constructor(private readonly options: Options) {}

  /** Tries once to found the replica set, if this daemon is a configured founder and not yet founded. */
  async found(set: replicaSet.ReplicaSet | undefined): Promise<void> {
    const { configuration: settings, peers: client, address } = this.options;
    const { founders, seeds } = settings;
    if (set === undefined || set.isFounded) return;
    this.logSpareState();
    if (!founders.includes(address)) return;
    await founding.attempt({ set, client, founders, seeds, address });
  }

  /** Registers this daemon, or updates its address or replica id in the register. */
  async register(set: replicaSet.ReplicaSet | undefined): Promise<void> {
    const { configuration: settings, address, view } = this.options;
    const { name: id, dataCentre } = settings;
    const daemon = { id, address, dataCentre, replica: set?.id ?? '' };
    const registered = view.daemons.get(id);
    if (registered !== undefined && JSON.stringify(registered) === JSON.stringify(daemon)) return;
    await this.execute({ kind: 'register', daemon, at: 0 });
  }

  /**
   * Unregisters one silent daemon; called on the leader. Contact records before `since`, when its leadership
   * began, may be incomplete, so silence is counted from then at the earliest.
   */
  async unregisterSilent(since: number): Promise<void> {
    const { contacts: contactTable, view, now } = this.options;
    if (now() - since < UNREGISTER_AFTER_MS) return;
    const silent = [...view.daemons.keys()].find(
      (id) => now() - Math.max(since, contactTable.lastContactAt(id)) > UNREGISTER_AFTER_MS,
    );
    if (silent === undefined) return;
    contactTable.forget(silent);
    const reason = `not heard for ${UNREGISTER_AFTER_MS / 60_000} minutes`;
    await this.execute({ kind: 'unregister', id: silent, at: 0, reason });
  }

  private async execute(command: Command): Promise<void> {
    await this.options.logs.execute(logServer.SETTINGS_LOG, command, ATTEMPT_TIMEOUT_MS);
  }

  /** Logs when this replica starts to wait as a spare: empty, in a founded fleet, until repair adds it. */
  private logSpareState(): void {
    const isSpare = this.options.view.index > 0;
    if (isSpare && !this.wasSpare) this.options.observer.log('spareWaiting');
    this.wasSpare = isSpare;
  }
}
