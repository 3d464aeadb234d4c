/**
 * Checks a mocha JSON report against the list of known failures in KNOWN-RED.txt. The listed tests must fail and all
 * others pass: an unlisted failure, a listed test that passes and a listed test that did not run each fail the run.
 * A line of the list begins with the test's full title and ` | `; lines that begin with # are comments.
 */
'use strict';

const fs = require('node:fs');

/** Full titles of the listed tests. */
function parseTitles(text) {
  return text
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'))
    .map((line) => line.split(' | ')[0].trim());
}

/** One line for each deviation of a run from the list; empty if the run passes. */
function findProblems({ passes, failures }, listed) {
  const passed = new Set(passes.map(({ fullTitle }) => fullTitle));
  const failed = new Set(failures.map(({ fullTitle }) => fullTitle));
  const unlisted = [...failed].filter((title) => !listed.includes(title));
  const passing = listed.filter((title) => passed.has(title) && !failed.has(title));
  const missing = listed.filter((title) => !passed.has(title) && !failed.has(title));
  return [
    ...unlisted.map((title) => `failed: ${title}`),
    ...passing.map((title) => `listed as red, but passes: ${title}`),
    ...missing.map((title) => `listed as red, but isn't there: ${title}`),
  ];
}

function main([report, list]) {
  const results = JSON.parse(fs.readFileSync(report, 'utf8'));
  const listed = fs.existsSync(list) ? parseTitles(fs.readFileSync(list, 'utf8')) : [];
  listed.forEach((title) => console.log(`known red: ${title}`));
  results.failures.forEach(({ fullTitle, err }) => {
    console.log(`\n${fullTitle}\n${err.stack ?? err.message}`);
  });
  const problems = findProblems(results, listed);
  problems.forEach((problem) => console.log(problem));
  const unexpected = results.failures.length - listed.length;
  console.log(`${results.passes.length} passed, ${Math.max(problems.length, unexpected)} failed`);
  process.exitCode = problems.length === 0 && results.passes.length > 0 ? 0 : 1;
}

module.exports = { parseTitles, findProblems };

if (require.main === module) main(process.argv.slice(2));
