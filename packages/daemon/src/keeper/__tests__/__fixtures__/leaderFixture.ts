/** A leader with many followers, without a network. */
import type * as domain from '@celerydrift/domain';
import * as random from '@celerydrift/domain/dist/shared/random';
import { Ok } from 'ts-results';
import * as clock from '../../../clock';
import * as fleetState from '../../../fleet/fleetState';
import * as messages from '../../../fleet/messages';
import * as observer from '../../../observability/observer';
import type * as logHost from '../../../replicas/logHost';
import type * as peerClient from '../../../rpc/peerClient';
import * as leadership from '../../leadership';

const observe = new observer.Observer('test', 'fatal', undefined);

/** Documents are catalogues as JSON. */
const PROTOCOL: Partial<fleetState.Options['protocol']> = {
  parseCatalogue: (document) =>
    Ok(JSON.parse(document.toString()) as domain.catalogue.catalogue.Catalogue),
};

export interface Push {
  address: string;
  update: messages.FleetUpdate;
}

export interface LeaderFixture {
  leader: leadership.Leadership;
  fleet: fleetState.FleetState;
  pushes: Push[];
  /** For each confirmation by the quorum, whether it was requested immediately rather than with the next heartbeat. */
  confirmations: boolean[];
}

export interface Setup {
  followers: number;
  /** Time that a follower takes to answer a push, in milliseconds. */
  answerMs: number;
  /** Whether followers acknowledge each push without having the version that it builds on. */
  acknowledgesWithoutVersion?: boolean;
  /** The leader's clock; with the default, followers stay reachable however long a test takes. */
  now?: () => number;
  /** None by default. */
  newestCatalogue?: domain.catalogue.newestCatalogue.PackedCatalogue;
  /** The leader's observer; by default one that logs nothing. */
  observer?: observer.Observer;
}

/** A leader that all its followers have polled. */
export async function leaderWithFollowers({
  followers,
  answerMs,
  acknowledgesWithoutVersion = false,
  now = () => 0,
  newestCatalogue,
  observer: leaderObserver = observe,
}: Setup): Promise<LeaderFixture> {
  const pushes: Push[] = [];
  const client = {
    call: async (address: string, _method: string, update: messages.FleetUpdate) => {
      pushes.push({ address, update });
      await clock.sleep(answerMs);
      return Ok(acknowledgesWithoutVersion ? { mark: messages.NO_VERSION } : {});
    },
  };
  const confirmations: boolean[] = [];
  const confirm = async (isUrgent: boolean): Promise<boolean> => {
    confirmations.push(isUrgent);
    return true;
  };
  const host = { isLeader: true, confirmLeadership: confirm, replica: { members: [] } };
  const fleet = new fleetState.FleetState({
    protocol: PROTOCOL as fleetState.Options['protocol'],
    observer: observe,
    now: clock.steady,
    onCatalogue: () => undefined,
    onRecord: () => undefined,
  });
  const leader = new leadership.Leadership({
    name: 'leader',
    host: host as unknown as logHost.LogHost,
    fleetState: fleet,
    client: client as unknown as peerClient.PeerClient,
    observer: leaderObserver,
    now,
    random: random.seeded(1),
    linkMbps: 170,
    newestCatalogue: () => newestCatalogue,
    evacuations: () => fleet.evacuations.state,
    onInformed: () => undefined,
    onSuspects: () => undefined,
    onLimits: () => undefined,
  });
  leader.tick();
  for (let i = 0; i < followers; i++) await leader.follow(followRequest(i));
  return { leader, fleet, pushes, confirmations };
}

/** Peer address of a follower. */
export function addressOf(i: number): string {
  return `10.0.${Math.floor(i / 250)}.${i % 250}:1`;
}

export function followRequest(i: number): messages.FollowRequest {
  return {
    name: `e${i}`,
    role: 'entry',
    address: addressOf(i),
    version: 1,
    mark: messages.NO_VERSION,
    records: [],
    dispatches: [],
    suspects: [],
    limits: [],
    replica: undefined,
    dataCentre: 'dc0',
  };
}

export function announcement(
  i: number,
  state: domain.registry.registry.State = 'ready',
): domain.registry.registry.Announcement {
  return {
    id: `t${i}`,
    bornAt: 1,
    service: 's',
    address: `10.1.${Math.floor(i / 250)}.${i % 250}:1`,
    dataCentre: 'dc0',
    slots: 7,
    state,
    sequence: state === 'ready' ? 1 : 2,
  };
}
