/**
 * Checks a mocha JSON report against the list of known failures in KNOWN-RED.txt. The listed tests must fail and all
 * others pass: an unlisted failure, a listed test that passes and a listed test that did not run each fail the run.
 * A line of the list begins with the test's full title and ` | `; lines that begin with # are comments.
 *
 * Seeds of the soak are listed as `soak SEED GUARANTEE | `. What their processes do depends on the machine's timing, so a
 * listed one may also pass; any other seed, and any other guarantee of that seed, fails the run.
 */
'use strict';

const fs = require('node:fs');

const SOAK_SEED = /^soak \d+ \w+$/;

/** Full titles of the listed tests and soak seeds. */
function parseAll(text) {
  return text
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'))
    .map((line) => line.split(' | ')[0].trim());
}

/** Full titles of the listed tests. */
function parseTitles(text) {
  return parseAll(text).filter((title) => !SOAK_SEED.test(title));
}

/** Listed seeds of the soak, each with the guarantee that it may break. */
function parseSoakSeeds(text) {
  return parseAll(text).filter((title) => SOAK_SEED.test(title));
}

/** Broken guarantees of a soak's summary that aren't listed. */
function findSoakProblems({ failed }, listed) {
  const broken = failed.flatMap((each) => {
    return Object.keys(each.broken).map((guarantee) => `soak ${each.seed} ${guarantee}`);
  });
  return broken.filter((each) => !listed.includes(each)).map((each) => `failed: ${each}`);
}

function checkSoak(output, text) {
  // Without a summary the soak didn't end by itself.
  const summary = JSON.parse(output.trim().split('\n').at(-1));
  const listed = parseSoakSeeds(text);
  listed.forEach((each) => console.log(`known red: ${each}`));
  const problems = findSoakProblems(summary, listed);
  problems.forEach((problem) => console.log(problem));
  process.exitCode = problems.length === 0 && summary.seeds > 0 ? 0 : 1;
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

function checkTests(results, text) {
  const listed = parseTitles(text);
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

/** The results of several runs as one; undefined if a run wrote no report. */
function mergeResults(reports) {
  if (!reports.every((report) => report.includes('fullTitle'))) return undefined;
  const results = reports.map((report) => JSON.parse(report));
  return {
    passes: results.flatMap(({ passes }) => passes),
    failures: results.flatMap(({ failures }) => failures),
  };
}

function main([kind, list, ...reports]) {
  const text = fs.existsSync(list) ? fs.readFileSync(list, 'utf8') : '';
  const contents = reports.map((report) => fs.readFileSync(report, 'utf8'));
  if (kind === 'soak') {
    checkSoak(contents[0], text);
    return;
  }
  const results = mergeResults(contents);
  if (results === undefined) {
    console.log(
      'a test run wrote no report: no test ended, or its process was blocked until it was killed',
    );
    process.exitCode = 1;
  } else checkTests(results, text);
}

module.exports = { parseTitles, findProblems, parseSoakSeeds, findSoakProblems, mergeResults };

if (require.main === module) main(process.argv.slice(2));
