/** `npm run measure -- SCENARIO [--quick]`: runs a scenario and prints its result as one line of JSON. */
import * as fs from 'node:fs';
import * as domain from '@celerydrift/domain';
import * as commander from 'commander';
import * as decisions from './decisions/decisions';
import * as faults from './faults/faults';
import * as leader from './leader/leader';
import * as ledger from './ledger/ledger';
import * as mixed from './mixed/mixedScenario';
import * as overhead from './overhead/overhead';
import * as quarantine from './quarantine/quarantine';
import * as settings from './settings/settings';
import * as slopes from './slopes/slopes';
import * as state from './state/state';

type Log = (line: string) => void;

type Scenario = (quick: boolean, log: Log) => Promise<unknown>;

const SCENARIOS: Record<string, Scenario> = {
  decisions: decisions.run,
  mixed: async (quick, log) => mixed.run(quick, log, await domain.shared.hashing.load()),
  overhead: overhead.run,
  faults: (_quick, log) => faults.run(log),
  settings: settings.run,
  leader: leader.run,
  ledger: ledger.run,
  quarantine: quarantine.run,
  slopes: slopes.run,
  state: state.run,
};

/** Folder in which the latest result of each scenario is stored for the report. */
export const RESULTS_FOLDER = 'measures';

async function run(name: string, options: { quick?: boolean }): Promise<void> {
  const scenario = SCENARIOS[name];
  if (scenario === undefined) {
    const names = Object.keys(SCENARIOS).join(', ');
    process.stderr.write(`measure: unknown scenario "${name}"; expected one of ${names}\n`);
    process.exit(2);
  }
  const log: Log = (line) => {
    process.stderr.write(`${line}\n`);
  };
  const result = await scenario(options.quick === true, log);
  fs.mkdirSync(RESULTS_FOLDER, { recursive: true });
  fs.writeFileSync(`${RESULTS_FOLDER}/${name}.json`, `${JSON.stringify(result, null, 1)}\n`);
  process.stdout.write(`${JSON.stringify(result)}\n`);
  process.exit(0);
}

export async function main(argv: readonly string[]): Promise<void> {
  await new commander.Command('measure')
    .argument('<scenario>', Object.keys(SCENARIOS).join(', '))
    .option('--quick', 'take fewer samples and finish within 50 seconds')
    .action(run)
    .parseAsync([...argv]);
}
