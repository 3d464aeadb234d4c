/** Settings of entries and keepers: parsed values, defaults and the problems reported for invalid files. */
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

describe('role settings', () => {
  it('fill in defaults and the peer addresses of seeds', () => {
    expect(roleSettings.read(ENTRY).val).toMatchSnapshot();
  });

  it('report every problem with its remedy', () => {
    const invalid = ENTRY.replace('role = entry', 'role = leader')
      .replace('10.0.0.1:7000', 'here')
      .replace('stop-seconds = 8', 'stop-seconds = soon\nunknown = 1');
    expect(roleSettings.read(invalid).val).toMatchSnapshot();
  });

  it('report the keys that a role lacks', () => {
    const keeper = ENTRY.replace('role = entry', 'role = keeper');
    expect(roleSettings.read(keeper).val).toMatchSnapshot();
  });

  it('are all documented in docs/CONFIGURATION.md', () => {
    const page = fs.readFileSync(path.join(ROOT, 'docs/CONFIGURATION.md'), 'utf8');
    const missing = Object.keys(roleSettings.DEFAULTS).filter(
      (key) => !page.includes(`\`${key}\``),
    );
    expect(missing).to.deep.equal([]);
  });

  it('accept the deployment templates', () => {
    const templates = [
      ['entry', ''],
      // Without and with the values for evacuations.
      ['keeper', ''],
      ['keeper', 'east,west'],
    ];
    const problems = templates.flatMap(([role, zones]) => {
      const template = fs.readFileSync(path.join(ROOT, `deploy/${role}.ini`), 'utf8');
      const filled = template
        .replace('{{#zones}}{{@}}{{,}}{{/zones}}', zones)
        .replace(/\{\{#bounds\.evacMs\}\}(.*)\{\{\/bounds\.evacMs\}\}/, zones && '$1')
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
