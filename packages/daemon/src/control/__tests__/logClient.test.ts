/** Commands for a log whose leader is lost on the way. */
import * as chai from 'chai';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import * as peerClient from '../../rpc/peerClient';
import * as peerServer from '../../rpc/peerServer';
import * as logClient from '../logClient';

const { expect } = chai;

const PENDING = new Promise<never>(() => {});

const SECRET = 'a-secret-of-the-test';

describe('LogClient', () => {
  const observe = new observer.Observer('test', 'fatal', undefined);
  const client = new peerClient.PeerClient(SECRET, undefined, observe);

  after(() => client.close());

  async function outcomeOf(address: string): Promise<string> {
    const commands = new logClient.LogClient(client, () => [address], clock.steady);
    const result = await commands.execute('settings', {}, 300);
    return result.err ? result.val.kind : 'done';
  }

  /*
   * Guards against telling an operator that nothing took effect although the leader had received the command: the call
   * failed because another call on the same connection had timed out.
   */
  it('reports an unknown outcome if the command may have arrived', async () => {
    const server = new peerServer.PeerServer(SECRET, undefined, observe);
    server.add('silent', () => PENDING);
    server.add('execute', () => PENDING);
    const address = `127.0.0.1:${await server.listen({ host: '127.0.0.1', port: 0 })}`;
    const outcome = outcomeOf(address);
    await client.call(address, 'silent', {}, { timeoutMs: 100 });
    await server.close();
    expect(await outcome).to.equal('outcomeUnknown');
  });

  it('reports that there is no leader if the command was never sent', async () => {
    const server = new peerServer.PeerServer('another-secret', undefined, observe);
    const address = `127.0.0.1:${await server.listen({ host: '127.0.0.1', port: 0 })}`;
    expect(await outcomeOf(address)).to.equal('noLeader');
    await server.close();
  });
});
