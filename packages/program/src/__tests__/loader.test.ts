/** Signals that arrive while the program is being loaded. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';

const { expect } = chai;

const SOURCES = path.join(__dirname, '..', '..');

/** A program that says when it is being loaded, and ends by itself. */
const PROGRAM = "process.stdout.write('loading'); setTimeout(() => process.exit(7), 200);";

describe('loader', () => {
  // Guards against a VM that is gone because its settings changed while its process was starting.
  it('survives SIGHUP before the program handles it', async () => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'loader-'));
    ['loader.cjs', 'codeCache.cjs', 'replaceFile.cjs', 'earlyListener.cjs'].forEach((file) => {
      fs.copyFileSync(path.join(SOURCES, file), path.join(folder, file));
    });
    fs.writeFileSync(path.join(folder, 'program.js'), PROGRAM);
    const child = childProcess.spawn(process.execPath, [path.join(folder, 'loader.cjs')]);
    child.stdout.once('data', () => child.kill('SIGHUP'));
    const ending = await new Promise((resolve) => {
      child.once('exit', (code, signal) => resolve({ code, signal }));
    });
    expect(ending).to.deep.equal({ code: 7, signal: null });
  });
});
