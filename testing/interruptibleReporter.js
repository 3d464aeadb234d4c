/**
 * Mocha's JSON reporter, for runs with a time limit. A run that is terminated names the test or hook that was running,
 * and what had passed and failed until then: mocha itself reports nothing before its end.
 */
'use strict';

const fs = require('node:fs');
const mocha = require('mocha');

const { EVENT_TEST_BEGIN, EVENT_HOOK_BEGIN } = mocha.Runner.constants;

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
    let running;
    let runningSince = 0;
    const tests = [];
    const begin = (runnable) => {
      running = runnable;
      runningSince = Date.now();
    };
    runner.on(EVENT_HOOK_BEGIN, begin);
    runner.on(EVENT_TEST_BEGIN, (test) => {
      tests.push(test);
      begin(test);
    });
    process.once('SIGTERM', () => {
      const seconds = Math.round((Date.now() - runningSince) / 1_000);
      console.error(`terminated; for ${seconds} s in: ${running?.fullTitle() ?? 'no test'}`);
      if (output !== undefined) fs.writeFileSync(output, JSON.stringify(resultsOf(tests)));
      process.exit(EXIT_TIMED_OUT);
    });
  }
}

module.exports = InterruptibleReporter;
