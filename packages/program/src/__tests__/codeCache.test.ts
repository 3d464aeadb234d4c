/** Code caches that don't belong to the program, and builds beside starts; with real processes of a small program. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as targetFiles from '../../targetFiles.cjs';

const { expect } = chai;

/** A program that says its name and what became of its cache. */
function programNamed(name: 'old' | 'new'): string {
  return `
    const names = ['a', 'b', 'c'].map((each) => ({ each, text: each + '${name}' }));
    const state = globalThis[Symbol.for('celerydrift.codeCache')];
    process.stdout.write(names[0].text.slice(1) + ' ' + state);`;
}

/** Starts the program of a folder; its output, or how it ended if not by itself. */
function start(folder: string, flags: string[] = [], env: NodeJS.ProcessEnv = {}): Promise<string> {
  const args = [...flags, path.join(folder, 'celerydrift.js')];
  return new Promise((resolve) => {
    childProcess.execFile(process.execPath, args, { env }, (error, output) => {
      resolve(error === null ? output : `${error.signal ?? error.code}`);
    });
  });
}

function writeCache(folder: string): Promise<string> {
  return start(folder, [], { CELERYDRIFT_WRITE_CACHE: path.join(folder, 'program.cache') });
}

describe('code cache', () => {
  let built: string;

  before(async () => {
    built = fs.mkdtempSync(path.join(os.tmpdir(), 'cache-'));
    targetFiles.writeTarget(built, programNamed('old'));
    await writeCache(built);
  });

  function copyOfBuild(): string {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'cache-'));
    fs.cpSync(built, folder, { recursive: true });
    return folder;
  }

  /** Starts a copy of the build with a changed cache. */
  function startWith(change: (cache: Buffer) => Buffer): Promise<string> {
    const folder = copyOfBuild();
    const file = path.join(folder, 'program.cache');
    fs.writeFileSync(file, change(fs.readFileSync(file)));
    return start(folder);
  }

  // Guards against the end of a process by a signal, which answers none of the requests that it has read.
  it('starts without a cache that has a flipped byte or is cut', async () => {
    const random = domain.shared.random.independent(7);
    const flipped = Array.from({ length: 6 }, () => random.uniform()).map((place) => {
      return startWith((cache) => {
        cache[Math.floor(place * cache.length)] ^= 0xff;
        return cache;
      });
    });
    const cut = [0, 50, 500].map((length) => startWith((cache) => cache.subarray(0, length)));
    const outputs = await Promise.all([...flipped, ...cut]);
    expect(outputs).to.deep.equal(Array(9).fill('old damaged'));
  });

  // Guards against a program whose text isn't the one that its digest in the log names.
  it('runs a program of the same length instead of the cached one', async () => {
    const folder = copyOfBuild();
    fs.writeFileSync(path.join(folder, 'program.js'), programNamed('new'));
    expect(await start(folder)).to.equal('new otherProgram');
  });

  it('is used only by the runtime that wrote it', async () => {
    const folder = copyOfBuild();
    const outputs = [await start(folder), await start(folder, ['--stack-size=900'])];
    fs.rmSync(path.join(folder, 'program.cache'));
    outputs.push(await start(folder));
    expect(outputs).to.deep.equal(['old used', 'old otherRuntime', 'old missing']);
  });

  // Guards against a start between two files of a build, also of one that never ends.
  it('is harmless after a build that was interrupted between any two files', async () => {
    const outputs = [0, 1, 2, 3, 4, 5].map(async (count) => {
      const folder = copyOfBuild();
      let left = count;
      const replace: targetFiles.Replace = (file, content) => {
        if (left > 0) fs.writeFileSync(file, content);
        left -= 1;
      };
      targetFiles.writeTarget(folder, programNamed('new'), replace);
      return start(folder);
    });
    const expected = [...Array<string>(5).fill('old used'), 'new otherProgram'];
    expect(await Promise.all(outputs)).to.deep.equal(expected);
  });

  // Guards against a process that reads a file of which a build has written only a part.
  it('is built by replacing files, not by writing into those that a process reads', () => {
    const folder = copyOfBuild();
    const files = fs.readdirSync(folder).filter((name) => name !== 'program.cache');
    const opened = files.map((name) => fs.openSync(path.join(folder, name), 'r'));
    const before = files.map((name) => fs.statSync(path.join(folder, name)).ino);
    targetFiles.writeTarget(folder, programNamed('new'));
    const after = files.map((name) => fs.statSync(path.join(folder, name)).ino);
    expect(after.filter((inode, i) => inode === before[i])).to.deep.equal([]);
    const read = opened.map((descriptor) => fs.readFileSync(descriptor, 'utf8'));
    expect(read[files.indexOf('program.js')]).to.equal(programNamed('old'));
    expect(fs.readdirSync(folder)).to.have.members([...files, 'program.cache']);
    opened.forEach((descriptor) => fs.closeSync(descriptor));
  });
});
