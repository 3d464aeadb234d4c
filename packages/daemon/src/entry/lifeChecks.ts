/**
 * Asks targets whether they live. A connection may be dead while its target is well, and a target that is late may be
 * busy; so the question goes over a connection of its own, and only an answer of the lifetime that was meant counts.
 */
import type * as protocols from '../edges/protocols';
import type * as observer from '../observability/observer';
import type * as limitWatch from './limitWatch';
import * as targetClient from './targetClient';

export interface Parts {
  protocol: protocols.TrafficProtocol;
  limits: Pick<limitWatch.LimitWatch, 'mayCheck'>;
  gate: targetClient.Gate;
  observer: observer.Observer;
  /** IP address that connections come from; undefined where the operating system chooses. */
  source: string | undefined;
}

/** Longest wait for the answer, milliseconds: a new connection and a hundred ways there and back. */
const ANSWER_TIMEOUT_MS = 300;

const OK = 200;

export class LifeChecks {
  /** Questions under way; requests on the same target share one. */
  private readonly asking = new Map<string, Promise<boolean>>();

  constructor(private readonly parts: Parts) {}

  /** Whether this lifetime of a target answers; also one counts as alive that may not be asked now, as it named a limit or wants nothing. */
  isAlive(target: string, address: string): Promise<boolean> {
    const known = this.asking.get(target);
    if (known !== undefined) return known;
    const asked = this.ask(target, address).finally(() => this.asking.delete(target));
    this.asking.set(target, asked);
    return asked;
  }

  private async ask(target: string, address: string): Promise<boolean> {
    if (!(await this.parts.limits.mayCheck(target))) {
      this.parts.observer.count('lifeChecks.withheld');
      return true;
    }
    const { protocol, gate, source } = this.parts;
    const client = new targetClient.TargetClient({ protocol, gate, source });
    const about = { target, address, purpose: 'check' } as const;
    const end = await client.call(about, protocol.report(target), ANSWER_TIMEOUT_MS);
    client.close();
    if (end.kind === 'withheld') {
      this.parts.observer.count('lifeChecks.withheld');
      return true;
    }
    const status = end.kind === 'answered' ? end.status : 0;
    const isAlive = end.kind === 'answered' && isOfLiving(end);
    this.parts.observer.count(isAlive ? 'lifeChecks.alive' : 'lifeChecks.dead');
    this.parts.observer.log('targetAsked', { target, status, isAlive });
    return isAlive;
  }
}

/** Whether the lifetime that was asked answered; also one does that turns the question away as it is too busy. */
function isOfLiving({ status, facts }: targetClient.CallEnd & { kind: 'answered' }): boolean {
  return status === OK || (facts.isNotRun && !facts.isWrongLifetime);
}
