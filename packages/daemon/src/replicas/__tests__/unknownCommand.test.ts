import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';
import * as random from '@celerydrift/domain/dist/shared/random';
import * as observer from '../../observability/observer';
import type * as peerClient from '../../rpc/peerClient';
import type * as peerServer from '../../rpc/peerServer';
import * as replicaSet from '../replicaSet';
import * as stateMachine from '../stateMachine';

const { expect } = chai;

describe('a replica', () => {
  /*
   * Guards against a command of a newer program that is skipped, or that is taken for a full disk and tried again
   * forever.
   */
  it('stops at a command that its state machine does not know', async () => {
    const failures: unknown[] = [];
    const machine: stateMachine.StateMachine = {
      apply: (command, index) => {
        if (command === 'later') throw new stateMachine.UnknownCommand(command, index);
        return command;
      },
      snapshot: () => undefined,
      restore: () => undefined,
    };
    const opened = await replicaSet.ReplicaSet.open({
      folder: await fs.mkdtemp(path.join(os.tmpdir(), 'replica-')),
      address: '127.0.0.1:1',
      dataCentre: 'a',
      machines: new Map([['log', machine]]),
      timing: { heartbeat: 20, electionMin: 50, electionMax: 60 },
      random: random.seeded(1),
      client: { notify: () => undefined } as unknown as peerClient.PeerClient,
      observer: new observer.Observer('test', 'fatal', undefined),
      onDiskFailure: (error) => failures.push(error),
    });
    const set = opened.unwrap();
    const [host] = set.hosts.values();
    set.start({ add: () => undefined } as unknown as peerServer.PeerServer);
    await set.found([set.member('voter')]);
    while (!host.isLeader) await new Promise(setImmediate);
    expect((await host.propose('known')).ok).to.equal(true);
    expect((await host.propose('later')).err).to.equal(true);
    expect(failures).to.have.length(1);
    expect(String(failures[0])).to.contain('unknown kind "later"');
    expect(await host.confirmLeadership(true)).to.equal(false);
    await set.stop();
  });
});
