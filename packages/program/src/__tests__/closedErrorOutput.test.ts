/** Settings that can't be read, in a process whose standard error nobody reads any more. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';

const { expect } = chai;

const MAIN = path.join(__dirname, '..', 'main.ts');

function settingsOf(folder: string): string {
  return [
    '[daemon]',
    'role = keeper',
    'name = k1',
    'data-centre = d1',
    '[listen]',
    'control = 127.0.0.1:0',
    'peers = 127.0.0.1:0',
    '[keepers]',
    'seeds = 127.0.0.1:9',
    'secret = only-for-this-test',
    '[data]',
    `folder = ${path.join(folder, 'data')}`,
  ].join('\n');
}

describe('a keeper', () => {
  // Guards against keepers that all end at the same change of the settings, because a collector of their errors is gone.
  it('survives invalid settings when its standard error is closed', async () => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'closed-'));
    const file = path.join(folder, 'keeper.ini');
    fs.writeFileSync(file, settingsOf(folder));
    const code = `globalThis.PROGRAM_DIGEST = 'test'; require(${JSON.stringify(MAIN)})`;
    const child = childProcess.spawn(process.execPath, ['-r', 'tsx/cjs', '-e', code], {
      env: { ...process.env, CELERYDRIFT_NODE_FILE: file },
    });
    let output = '';
    const ending = new Promise<unknown>((resolve) => {
      child.once('exit', (status, signal) => resolve(signal ?? status));
    });
    let errors = '';
    child.stderr.on('data', (chunk) => {
      errors += String(chunk);
    });
    child.stdout.on('data', (chunk) => {
      const isStarted = output.includes('"event":1001');
      output += String(chunk);
      if (!isStarted && output.includes('"event":1001')) {
        child.stderr.destroy();
        fs.writeFileSync(file, 'nonsense');
        child.kill('SIGHUP');
      }
      if (output.includes('"event":3013')) setTimeout(() => child.kill('SIGTERM'), 100);
    });
    expect(await ending, errors + output).to.equal(0);
  }).timeout(10_000);
});
