/** RPC client and server for calls among entries and keepers. */
import type * as roleSettings from '../configuration/roleSettings';
import type * as observer from '../observability/observer';
import * as peerClient from '../rpc/peerClient';
import * as peerServer from '../rpc/peerServer';
import * as leaderLink from './leaderLink';
import * as messageShapes from './messageShapes';

/** Creates a client for a role's peers, whose VMs are close to each other. It checks their answers. */
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
    messageShapes.SHAPES,
  );
}

/** Creates a server for the calls of a role's peers, which it checks. */
export function serverOf(
  { secret }: roleSettings.Settings,
  observe: observer.Observer,
): peerServer.PeerServer {
  return new peerServer.PeerServer(secret, undefined, observe, messageShapes.SHAPES);
}
