/** The settings file of a daemon: defaults, and problems reported with section, key, value and remedy. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as domain from '@celerydrift/domain';
import * as chai from 'chai';
import * as events from '../../observability/events';
import * as configuration from '../configuration';

const { expect } = chai;

const DOCS = path.join(__dirname, '../../../../../docs');

const VALID = `[daemon]
name = vm-1
data-centre = ruaraka
[peers]
secret = sixteen-characters
[security]
target-secret = sixteen-characters
operator-token = sha256:${'0'.repeat(64)}
`;

describe('configuration', () => {
  it('fills in the defaults', () => {
    expect(configuration.read(VALID).unwrap()).toMatchSnapshot();
  });

  it('reports all problems at once', () => {
    const invalid = `[daemon]
name = VM 1
[listen]
callers = localhost:80
peers = 10.0.0.1:99999
[peers]
secret = short
seeds = 10.0.0.1
[security]
target-secret = sixteen-characters
operator-token = letmein
certificate = cert.pem
[settings]
staleness-rule = maybe
[limits]
connections = many
colour = red
[extras]
a = 1
`;
    const read = configuration.read(invalid);
    expect(read.err && read.val.map(domain.settings.schema.describe)).toMatchSnapshot();
  });

  it('is documented in docs/CONFIGURATION.md', () => {
    const page = fs.readFileSync(path.join(DOCS, 'CONFIGURATION.md'), 'utf8');
    const missing = Object.keys(configuration.DEFAULTS).filter(
      (key) => !page.includes(`\`${key}\``),
    );
    expect(missing).to.deep.equal([]);
  });
});

describe('log events', () => {
  it('match docs/LOG_EVENTS.md', () => {
    const page = fs.readFileSync(path.join(DOCS, 'LOG_EVENTS.md'), 'utf8');
    const documented = [...page.matchAll(/^\| (\d{4}) +\| (\w+) +\| (\w+) +\| ([^|]+) \|/gm)].map(
      ([, number, name, level, text]) => `${number} ${name} ${level} ${text.trim()}`,
    );
    const declared = Object.entries(events.EVENTS).map(
      ([name, { number, level, text }]) => `${number} ${name} ${level} ${text}`,
    );
    expect(documented).to.deep.equal(declared);
    expect(new Set(declared.map((line) => line.slice(0, 4))).size).to.equal(declared.length);
  });
});
