/** Recovery of the journal after a crash at any byte, and the replica id of a data folder. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as domain from '@celerydrift/domain';
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as frames from '../frames';
import * as identity from '../identity';
import * as journal from '../journal';

const { expect } = chai;

function entry(index: number): domain.replication.messages.Entry {
  return { kind: 'command', index, term: 1, command: `c${index}` };
}

describe('journal frames', () => {
  const payloads = [{ a: 1 }, ['b', 2], 'c'.repeat(40), { d: [1, 2, 3] }];
  const file = Buffer.concat(payloads.map(frames.encode));

  /** A crash can tear the last write at any byte; everything synced before must be recovered. */
  it('keeps every whole frame when the file is truncated at any byte', () => {
    const ends = payloads.map(
      (_p, i) => Buffer.concat(payloads.slice(0, i + 1).map(frames.encode)).length,
    );
    for (let length = 0; length <= file.length; length++) {
      const whole = ends.filter((end) => end <= length).length;
      const replayed = frames.replay(file.subarray(0, length)).unwrap();
      expect(replayed.payloads).to.deep.equal(payloads.slice(0, whole));
      expect(replayed.torn).to.equal(length > 0 && !ends.includes(length));
    }
  });

  /*
   * Guards against the loss of accepted settings: a sector in the middle of the journal went bad, and the replica
   * continued as if the frames after it had never been written.
   */
  it('never mistakes a corrupt byte before intact frames for a torn end', () => {
    const last = frames.encode(payloads.at(-1)).length;
    for (let at = 0; at < file.length - last; at++) {
      const bad = Buffer.from(file);
      bad.writeUInt8(bad.readUInt8(at) ^ 0x41, at);
      expect(frames.replay(bad).err, `byte ${at}`).to.equal(true);
    }
  });

  it('replays arbitrary bytes without throwing', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.uint8Array({ maxLength: 200 }), (bytes) => {
        frames.replay(Buffer.from(bytes));
      }),
      { seed: 1, numRuns: 2_000 },
    );
  });
});

describe('journal', () => {
  let folder = '';

  beforeEach(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), 'celerydrift-test-'));
  });

  afterEach(() => fs.rmSync(folder, { recursive: true, force: true }));

  it('recovers everything synced after truncation, rewriting and a torn write', async () => {
    const first = (await journal.Journal.open(folder)).unwrap();
    const empty = domain.replication.messages.emptyDurable();
    await first.journal.rewrite(empty);
    await first.journal.append([{ kind: 'append', entries: [1, 2, 3, 4].map(entry) }]);
    await first.journal.append([
      { kind: 'vote', vote: { term: 2, votedFor: 'x' } },
      { kind: 'truncate', from: 3 },
      { kind: 'append', entries: [entry(3)] },
    ]);
    await first.journal.close();
    fs.appendFileSync(path.join(folder, 'journal'), Buffer.from([9, 9, 9]));
    const second = (await journal.Journal.open(folder)).unwrap();
    expect([first.durable, second.wasTorn, second.durable]).toMatchSnapshot();
    await second.journal.rewrite({
      ...(second.durable as domain.replication.messages.DurableState),
      snapshot: { index: 2, term: 1, members: [], state: 'state' },
    });
    await second.journal.append([{ kind: 'append', entries: [entry(4)] }]);
    await second.journal.close();
    const third = (await journal.Journal.open(folder)).unwrap();
    await third.journal.close();
    expect([
      third.wasTorn,
      third.durable?.snapshot.index,
      third.durable?.entries.length,
    ]).to.deep.equal([false, 2, 4]);
  });

  // Guards against a replica that cuts its new journal to the length of the old one, and never starts again.
  it('recovers the new journal if the folder cannot be synced after it replaced the old one', async () => {
    const opened = (await journal.Journal.open(folder)).unwrap();
    await opened.journal.rewrite(domain.replication.messages.emptyDurable());
    const durable = {
      ...domain.replication.messages.emptyDurable(),
      entries: [1, 2, 3].map(entry),
    };
    const mutableFs = fs.promises as { open: typeof fs.promises.open };
    const { open } = mutableFs;
    mutableFs.open = async (file, flags) => {
      if (file === folder) throw new Error('EIO');
      return open(file, flags);
    };
    const failure = await opened.journal.rewrite(durable).catch(String);
    mutableFs.open = open;
    const recovered = (await opened.journal.recover()).unwrap();
    await opened.journal.append([{ kind: 'append', entries: [entry(4)] }]);
    await opened.journal.close();
    const reopened = (await journal.Journal.open(folder)).unwrap();
    await reopened.journal.close();
    expect(failure).to.contain('EIO');
    expect([recovered?.entries.length, reopened.durable?.entries.length]).to.deep.equal([3, 4]);
  });

  // Guards against a loss of power that takes a new journal with its folder, whose name wasn't synced.
  it('syncs the folder in which it creates its own', async () => {
    const mutableFs = fs.promises as { open: typeof fs.promises.open };
    const { open } = mutableFs;
    const opened: unknown[] = [];
    mutableFs.open = async (file, flags) => {
      opened.push(file);
      return open(file, flags);
    };
    const created = await journal.Journal.open(path.join(folder, 'a'));
    mutableFs.open = open;
    await created.unwrap().journal.close();
    expect(opened).to.include(folder);
  });

  it('keeps the id of a data folder, and creates another one for an emptied folder', async () => {
    const created = await identity.readOrCreate(folder);
    const again = await identity.readOrCreate(folder);
    fs.rmSync(folder, { recursive: true });
    const other = await identity.readOrCreate(folder);
    expect([again === created, other === created]).to.deep.equal([true, false]);
  });
});
