/** The report of a test run that is terminated. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';

const { expect } = chai;

const TESTS = `
beforeEach(() => undefined);
describe('a suite', () => {
  it('passes', () => undefined);
  it('fails', () => { throw new Error('wrong'); });
  it('hangs', () => {
    process.stderr.write('hanging');
    setInterval(() => undefined, 1_000);
    return new Promise(() => undefined);
  });
});
`;

describe('a test run that is terminated', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'celerydrift-report-'));

  after(() => fs.rmSync(folder, { recursive: true, force: true }));

  /** Guards against a run without a report, which leaves unknown which test did not end. */
  it('reports the test that was running, and the results until then', async () => {
    const [file, output] = ['hanging.cjs', 'report.json'].map((name) => path.join(folder, name));
    fs.writeFileSync(file as string, TESTS);
    const run = childProcess.spawn(process.execPath, [
      require.resolve('mocha/bin/mocha.js'),
      ...['--no-config', '--reporter', path.join(__dirname, '..', 'interruptibleReporter.js')],
      ...['--reporter-option', `output=${output}`, '--timeout', '60000', file as string],
    ]);
    let said = '';
    run.stderr.on('data', (chunk) => {
      said += String(chunk);
      if (said === 'hanging') run.kill();
    });
    const code = await new Promise((resolve) => {
      run.once('close', resolve);
    });
    const report = JSON.parse(fs.readFileSync(output as string, 'utf8')) as Record<
      'passes' | 'failures',
      { fullTitle: string }[]
    >;
    const titlesOf = (kind: 'passes' | 'failures'): string[] =>
      report[kind].map(({ fullTitle }) => fullTitle);
    expect(said).to.match(/terminated; for \d+ s in: a suite hangs/);
    expect([code, titlesOf('passes'), titlesOf('failures')]).to.deep.equal([
      124,
      ['a suite passes'],
      ['a suite fails'],
    ]);
  });
});
