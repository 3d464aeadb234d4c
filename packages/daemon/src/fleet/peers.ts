/** RPC client for calls among entries and keepers. */
import type * as roleSettings from '../configuration/roleSettings';
import type * as observer from '../observability/observer';
import * as peerClient from '../rpc/peerClient';
import * as leaderLink from './leaderLink';

/** Creates a client for a role's peers, whose VMs are close to each other. */
export function clientOf(
  { secret, source }: roleSettings.Settings,
  observe: observer.Observer,
): peerClient.PeerClient {
  return new peerClient.PeerClient(
    secret,
    undefined,
    observe,
    source,
    leaderLink.CONNECT_TIMEOUT_MS,
  );
}
