/**
 * Calls of targets and operators that only the leader can settle, either here or by forwarding them to it. A call
 * from another keeper is settled here or refused; otherwise two keepers that take each other for the leader would
 * forward it back and forth.
 */
import type * as domain from '@celerydrift/domain';
import type * as leaderLink from '../fleet/leaderLink';
import type * as messages from '../fleet/messages';
import type * as logHost from '../replicas/logHost';
import type * as peerClient from '../rpc/peerClient';
import type * as catalogueMachine from './catalogueMachine';
import type * as leadership from './leadership';

type Announcement = domain.registry.registry.Announcement;
type PackedCatalogue = domain.catalogue.newestCatalogue.PackedCatalogue;

export interface Dependencies {
  host: logHost.LogHost;
  leadership: leadership.Leadership;
  machine: catalogueMachine.CatalogueMachine;
  link: leaderLink.LeaderLink;
  client: peerClient.PeerClient;
}

/** Maximum wait for the leader's answer to a forwarded call, in milliseconds. */
const FORWARD_TIMEOUT_MS = 900;

/** A catalogue takes longer, in milliseconds: it waits for a sync on a slow disk and a push to the entries. */
const SUBMIT_TIMEOUT_MS = 3_000;

export class LeaderCalls {
  constructor(private readonly dependencies: Dependencies) {}

  /** Forwards targets' announcements; resolves with false if no leader takes them. */
  announce(records: Announcement[]): Promise<boolean> {
    const content = { records } satisfies messages.AnnouncementBatch;
    return this.atLeader(
      { method: 'announced', content, timeoutMs: FORWARD_TIMEOUT_MS },
      {
        here: () => this.announceHere(content),
        unavailable: () => false,
      },
    );
  }

  /** Resolves once the followers know the changes. */
  async announceHere({ records }: messages.AnnouncementBatch): Promise<boolean> {
    if (!this.dependencies.host.isLeader) return false;
    await Promise.all(records.map((record) => this.dependencies.leadership.announce(record)));
    return true;
  }

  depart(content: messages.Departure): Promise<boolean> {
    return this.atLeader(
      { method: 'departed', content, timeoutMs: FORWARD_TIMEOUT_MS },
      {
        here: () => this.departHere(content),
        unavailable: () => false,
      },
    );
  }

  async departHere(departed: messages.Departure): Promise<boolean> {
    if (!this.dependencies.host.isLeader) return false;
    await this.dependencies.leadership.depart(departed);
    return true;
  }

  submit(edition: PackedCatalogue): Promise<messages.SubmitAnswer> {
    const content = { edition } satisfies messages.SubmitRequest;
    return this.atLeader<messages.SubmitAnswer>(
      { method: 'submit', content, timeoutMs: SUBMIT_TIMEOUT_MS },
      { here: () => this.submitHere(edition), unavailable },
    );
  }

  async submitHere(edition: PackedCatalogue): Promise<messages.SubmitAnswer> {
    const applied = await this.dependencies.host.propose(edition);
    if (applied.err) return unavailable(applied.val.kind);
    const { version, changed } = applied.val.answer as domain.catalogue.newestCatalogue.ApplyResult;
    if (changed) await this.dependencies.leadership.publishCatalogue(edition);
    return { kind: 'accepted', version };
  }

  newest(): Promise<messages.NewestAnswer> {
    return this.atLeader<messages.NewestAnswer>(
      { method: 'newest', content: {}, timeoutMs: FORWARD_TIMEOUT_MS },
      { here: () => this.newestHere(), unavailable },
    );
  }

  async newestHere(): Promise<messages.NewestAnswer> {
    const confirmed = await this.dependencies.host.confirmLeadership(true);
    if (!confirmed) return unavailable('not confirmed by a quorum');
    return { kind: 'newest', edition: this.dependencies.machine.catalogue.newest };
  }

  /** Settles a call here if this keeper leads, or else at the leader. */
  private async atLeader<T>(
    { method, content, timeoutMs }: LeaderCall,
    settle: { here: () => Promise<T>; unavailable: (detail: string) => T },
  ): Promise<T> {
    const { host, link, client } = this.dependencies;
    if (host.isLeader) return settle.here();
    const leader = host.leaderAddress || link.leader;
    if (leader === '') return settle.unavailable('no leader is known');
    const answer = await client.call<T>(leader, method, content, { timeoutMs });
    if (answer.ok) return answer.val;
    link.reportFailure(leader);
    return settle.unavailable(answer.val.detail);
  }
}

/** A call that only the leader can settle. */
interface LeaderCall {
  method: string;
  content: object;
  timeoutMs: number;
}

function unavailable(detail: string): { kind: 'unavailable'; detail: string } {
  return { kind: 'unavailable', detail };
}
