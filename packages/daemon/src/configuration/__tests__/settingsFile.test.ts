/** A settings file that is replaced while its process runs. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';
import * as settingsFile from '../settingsFile';

const { expect } = chai;

const settingsOf = (name: string): string => `
[daemon]
role = entry
name = ${name}
data-centre = east
[listen]
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
peers = 10.0.0.1:7000
[keepers]
seeds = 10.0.0.2:90
keeper-port = 7000
secret = sixteen-characters
[bounds]
stop-seconds = 8
`;

describe('a settings file', () => {
  let folder: string;
  let file: string;
  let applied: string[];
  let logged: unknown[];
  let tested: settingsFile.SettingsFile;

  beforeEach(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), 'settings-'));
    file = path.join(folder, 'settings.ini');
    fs.writeFileSync(file, settingsOf('first'));
    applied = [];
    logged = [];
    const observe = {
      log: (_event: string, { valid }: { valid?: boolean }) => logged.push(valid),
    } as never;
    tested = new settingsFile.SettingsFile(file, settingsOf('first'), observe, ({ name }) => {
      applied.push(name);
    });
    tested.reload();
  });

  afterEach(() => {
    fs.rmSync(folder, { recursive: true });
  });

  // Guards against a process that ends, and cuts all its requests, as the file is missing or unreadable when SIGHUP comes.
  it('may be missing for a moment, and is read once it is back', () => {
    fs.rmSync(file);
    tested.reload();
    tested.poll();
    fs.mkdirSync(file);
    tested.reload();
    fs.rmdirSync(file);
    fs.writeFileSync(file, settingsOf('second'));
    tested.poll();
    expect([applied, logged]).to.deep.equal([['second'], [false, false, true]]);
  });

  // Guards against settings that stay unread, as the file was read while it was written.
  it('is read again when the rest of it is written', () => {
    fs.writeFileSync(file, settingsOf('second').slice(0, 60));
    tested.reload();
    fs.writeFileSync(file, settingsOf('second'));
    fs.utimesSync(file, 1, 1);
    tested.poll();
    tested.poll();
    expect([applied, logged]).to.deep.equal([['second'], [false, true]]);
  });
});
