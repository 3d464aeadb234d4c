/** Settings of entries and keepers: what a file gives, and what each mistake is told. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as chai from 'chai';
import * as roleSettings from '../roleSettings';

const { expect } = chai;

const ROOT = path.join(__dirname, '../../../../..');

const ENTRY = `
[daemon]
role = entry
name = front-1
data-centre = east
[listen]
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
peers = 10.0.0.1:7000
[keepers]
seeds = 10.0.0.2:90, 10.0.0.3:90
keeper-port = 7000
secret = sixteen-characters
[bounds]
stop-seconds = 8
`;

describe('settings of roles', () => {
  it('come with defaults and with the peer addresses of seeds', () => {
    expect(roleSettings.read(ENTRY).val).toMatchSnapshot();
  });

  it('say everything that is wrong, with the mend', () => {
    const wrong = ENTRY.replace('role = entry', 'role = leader')
      .replace('10.0.0.1:7000', 'here')
      .replace('stop-seconds = 8', 'stop-seconds = soon\nunknown = 1');
    expect(roleSettings.read(wrong).val).toMatchSnapshot();
  });

  it('name what a role lacks', () => {
    const keeper = ENTRY.replace('role = entry', 'role = keeper');
    expect(roleSettings.read(keeper).val).toMatchSnapshot();
  });

  it('are all on the page of settings', () => {
    const page = fs.readFileSync(path.join(ROOT, 'docs/CONFIGURATION.md'), 'utf8');
    const missing = Object.keys(roleSettings.DEFAULTS).filter(
      (key) => !page.includes(`\`${key}\``),
    );
    expect(missing).to.deep.equal([]);
  });

  it('are what the templates of the deployment fill in', () => {
    const problems = ['entry', 'keeper'].flatMap((role) => {
      const template = fs.readFileSync(path.join(ROOT, `deploy/${role}.ini`), 'utf8');
      const filled = template
        .replace(/\{\{nodeName\}\}|\{\{zone\}\}/g, 'east-1')
        .replace(/\{\{listen\.\w+\}\}/g, '10.0.0.1:80')
        .replace('{{ip}}:{{internalPorts.0}}', '10.0.0.1:7000')
        .replace(/\{\{ip\}\}/g, '10.0.0.1')
        .replace('{{seeds}}', '10.0.0.2:90')
        .replace('{{dataDir}}', '/data')
        .replace('{{bootstrap}}', 'true')
        .replace(/\{\{bounds\.\w+Ms\}\}/g, '2000')
        .replace(/\{\{[\w.]+\}\}/g, '2');
      const read = roleSettings.read(filled);
      return read.err ? read.val : [];
    });
    expect(problems).to.deep.equal([]);
  });
});
