/**
 * Mocha's JSON reporter, for runs with a time limit. A run that is terminated names the test or hook that was running,
 * and what had passed and failed until then: mocha itself reports nothing before its end.
 */
'use strict';

const fs = require('node:fs');
const mocha = require('mocha');

const { EVENT_TEST_BEGIN, EVENT_HOOK_BEGIN, EVENT_HOOK_END } = mocha.Runner.constants;

/** The exit code of `timeout`, whose signal ends the run. */
const EXIT_TIMED_OUT = 124;

/** The results so far, in the shape of the report at the end. */
function resultsOf(tests) {
  const withState = (state) =>
    tests
      .filter((test) => test.state === state)
      .map((test) => ({ fullTitle: test.fullTitle(), err: { message: test.err?.stack } }));
  return { passes: withState('passed'), failures: withState('failed') };
}

class InterruptibleReporter extends mocha.reporters.JSON {
  constructor(runner, options) {
    super(runner, options);
    const { output } = options.reporterOption ?? {};
    let test;
    let hook;
    let since = 0;
    const tests = [];
    runner.on(EVENT_TEST_BEGIN, (begun) => {
      test = begun;
      since = Date.now();
      tests.push(begun);
    });
    runner.on(EVENT_HOOK_BEGIN, (begun) => {
      hook = begun;
      since = Date.now();
    });
    // The hooks before a test run after its beginning.
    runner.on(EVENT_HOOK_END, () => {
      hook = undefined;
      since = Date.now();
    });
    process.once('SIGTERM', () => {
      const seconds = Math.round((Date.now() - since) / 1_000);
      const running = hook ?? test;
      console.error(`terminated; for ${seconds} s in: ${running?.fullTitle() ?? 'no test'}`);
      try {
        if (output !== undefined) fs.writeFileSync(output, JSON.stringify(resultsOf(tests)));
      } finally {
        // Mocha would take an error for the test's and go on.
        process.exit(EXIT_TIMED_OUT);
      }
    });
  }
}

module.exports = InterruptibleReporter;
