import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';
import * as random from '@celerydrift/domain/dist/shared/random';
import * as observer from '../../observability/observer';
import type * as peerClient from '../../rpc/peerClient';
import type * as peerServer from '../../rpc/peerServer';
import type * as logHost from '../logHost';
import * as replicaSet from '../replicaSet';
import * as stateMachine from '../stateMachine';

const { expect } = chai;

const MACHINE = { apply: () => undefined, snapshot: () => undefined, restore: () => undefined };

describe('a replica', () => {
  let folder = '';

  let failures: unknown[] = [];

  beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), 'replica-'));
    failures = [];
  });

  async function open(machine: stateMachine.StateMachine): Promise<replicaSet.ReplicaSet> {
    const opened = await replicaSet.ReplicaSet.open({
      folder,
      address: '127.0.0.1:1',
      dataCentre: 'a',
      machines: new Map([['log', machine]]),
      timing: { heartbeat: 20, electionMin: 50, electionMax: 60 },
      random: random.seeded(1),
      client: { notify: () => undefined } as unknown as peerClient.PeerClient,
      observer: new observer.Observer('test', 'fatal', undefined),
      onDiskFailure: (error) => failures.push(error),
    });
    return opened.unwrap();
  }

  /*
   * Guards against a command of a newer program that is skipped, or that is taken for a full disk and tried again
   * forever.
   */
  it('stops at a command that its state machine does not know', async () => {
    const set = await open({
      ...MACHINE,
      apply: (command, index) => {
        if (command === 'later') throw new stateMachine.UnknownCommand(command, index);
        return command;
      },
    });
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

  // Guards against a founder that never founds, or ends its process, after a disk error in the middle of a founding.
  it('is founded at another attempt if the disk refuses the first one', async () => {
    const set = await open(MACHINE);
    const [host] = set.hosts.values();
    const { journal } = (host as unknown as { dependencies: logHost.Dependencies }).dependencies;
    const { rewrite } = journal;
    journal.rewrite = async () => {
      journal.rewrite = rewrite;
      throw new Error('EIO');
    };
    const members = [set.member('voter')];
    const attempts = [await set.found(members)];
    // The host recovers its journal after a pause, and refuses other attempts until then.
    while (attempts.at(-1) !== true && attempts.length < 4) attempts.push(await set.found(members));
    expect([attempts[0], attempts.at(-1), set.isFounded]).to.deep.equal([false, true, true]);
    await set.stop();
  });

  // Guards against lost settings: without its journal, a voter helps to elect a leader that lacks what it acknowledged.
  it('keeps its id when it comes back, unless the disk has lost its journal', async () => {
    const journal = path.join(folder, 'log', 'journal');
    const idAfterStart = async (): Promise<string> => {
      const set = await open(MACHINE);
      await set.stop();
      return set.id;
    };
    const ids = [await idAfterStart(), await idAfterStart()];
    await fs.rm(journal);
    ids.push(await idAfterStart(), await idAfterStart());
    await fs.writeFile(journal, (await fs.readFile(journal)).subarray(0, 5));
    ids.push(await idAfterStart());
    const numbers = ids.map((id) => [...new Set(ids)].indexOf(id));
    expect(numbers).to.deep.equal([0, 0, 1, 1, 2]);
  });
});
