/** Test runs with tests that are known to fail. */
import * as chai from 'chai';
import * as knownRed from '../knownRed';

const { expect } = chai;

function testRun(
  passes: string[],
  failures: string[],
): Parameters<typeof knownRed.findProblems>[0] {
  const toResults = (titles: string[]): { fullTitle: string }[] =>
    titles.map((fullTitle) => ({ fullTitle }));
  return { passes: toResults(passes), failures: toResults(failures) };
}

describe('known red tests', () => {
  const listed = knownRed.parseTitles('# comment\n\na loses b | npm test | seen | cause | 10\n');

  it('may fail, and nothing else may', () => {
    expect(knownRed.findProblems(testRun(['x'], ['a loses b']), listed)).to.deep.equal([]);
    expect(knownRed.findProblems(testRun([], ['a loses b', 'x']), listed)).toMatchSnapshot();
  });

  it('fail the run when they pass or are gone', () => {
    expect(knownRed.findProblems(testRun(['a loses b'], []), listed)).toMatchSnapshot();
    expect(knownRed.findProblems(testRun(['x'], []), listed)).toMatchSnapshot();
  });
});
