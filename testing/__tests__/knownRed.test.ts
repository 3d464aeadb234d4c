/** The verdict on test runs with tests that are known to fail. */
import * as chai from 'chai';
import * as knownRed from '../knownRed';

const { expect } = chai;

function run(passes: string[], failures: string[]): Parameters<typeof knownRed.verdict>[0] {
  const titled = (titles: string[]): { fullTitle: string }[] =>
    titles.map((fullTitle) => ({ fullTitle }));
  return { passes: titled(passes), failures: titled(failures) };
}

describe('known red tests', () => {
  const known = knownRed.listed('# comment\n\na loses b | npm test | seen | cause | 10\n');

  it('may fail, and nothing else may', () => {
    expect(knownRed.verdict(run(['x'], ['a loses b']), known)).to.deep.equal([]);
    expect(knownRed.verdict(run([], ['a loses b', 'x']), known)).toMatchSnapshot();
  });

  it('fail the run when they pass or are gone', () => {
    expect(knownRed.verdict(run(['a loses b'], []), known)).toMatchSnapshot();
    expect(knownRed.verdict(run(['x'], []), known)).toMatchSnapshot();
  });
});
