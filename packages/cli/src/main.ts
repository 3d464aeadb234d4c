/** celerydrift: the operators' command-line tool. */
import * as commander from 'commander';
import { Ok, Result } from 'ts-results';
import * as errors from './errors';
import * as fleetCommands from './fleetCommands';
import * as operatorsClient from './operatorsClient';
import * as output from './output';
import * as settingsCommands from './settingsCommands';

interface GlobalOptions {
  entry: string;
  token: string;
  json: boolean;
}

const HELP = `
Exit codes: 0 done, 2 bad usage or bad settings, 3 conflict, 4 refused, 5 no entry reachable,
6 accepted but not in force everywhere in time.

Examples:
  celerydrift settings check fitters.ini
  celerydrift settings apply fitters fitters.ini --wait
  celerydrift stop announce target engine-7 --grace 60
  celerydrift --json status`;

function reportOutcome(result: Result<void, errors.CommandError>): void {
  if (result.ok) return;
  output.error(result.val.message);
  process.exitCode = errors.EXIT_CODE[result.val.kind];
}

/** Builds the command tree. */
export function buildProgram(): commander.Command {
  const root = new commander.Command('celerydrift');
  root
    .description('Changes settings and announces planned stops of a celerydrift fleet.')
    .option(
      '--entry <urls>',
      'operators interface of daemons, several separated by commas',
      process.env.CELERYDRIFT_ENTRY ?? 'http://127.0.0.1:8082',
    )
    .option('--token <token>', 'operator token', process.env.CELERYDRIFT_TOKEN ?? '')
    .option('--json', 'print JSON', false)
    .addHelpText('after', HELP);
  const global = (): GlobalOptions => root.opts<GlobalOptions>();
  const client = (): operatorsClient.OperatorsClient => {
    const { entry, token } = global();
    return new operatorsClient.OperatorsClient(entry.split(','), token);
  };
  addSettingsCommands(root, global, client);
  addFleetCommands(root, global, client);
  return root;
}

function addSettingsCommands(
  root: commander.Command,
  global: () => GlobalOptions,
  client: () => operatorsClient.OperatorsClient,
): void {
  const settings = root.command('settings').description('the settings tree');
  settings
    .command('check <file>')
    .description('check a file without sending it')
    .action((file: string) => {
      const result = settingsCommands.check(file);
      if (result.ok) output.line('no problem found');
      reportOutcome(result.ok ? Ok(undefined) : result);
    });
  settings
    .command('show [subtree]')
    .description('a subtree in force, or the list of all')
    .action(async (subtree?: string) => {
      reportOutcome(await settingsCommands.show(client(), subtree, global().json));
    });
  settings
    .command('diff <subtree> <file>')
    .description('what a file would change')
    .action(async (subtree: string, file: string) => {
      reportOutcome(await settingsCommands.diff(client(), subtree, file, global().json));
    });
  settings
    .command('apply <subtree> <file>')
    .description('put a file in force; an empty file removes the subtree')
    .option('--based-on <revision>', 'revision you looked at; default: the one in force now')
    .option('--id <id>', 'change id; a resend with the same id gets the first answer')
    .option('--wait', 'wait until it is in force on every daemon')
    .action(
      async (
        subtree: string,
        file: string,
        options: Omit<settingsCommands.ApplyOptions, 'json'>,
      ) => {
        const { json } = global();
        reportOutcome(await settingsCommands.apply(client(), subtree, file, { ...options, json }));
      },
    );
  settings
    .command('history')
    .description('accepted changes, newest first')
    .option('--limit <count>', 'entries', '50')
    .action(async ({ limit }: { limit: string }) => {
      reportOutcome(await settingsCommands.history(client(), limit, 'change', global().json));
    });
}

function addFleetCommands(
  root: commander.Command,
  global: () => GlobalOptions,
  client: () => operatorsClient.OperatorsClient,
): void {
  root
    .command('audit')
    .description('what operators and the system itself did, newest first')
    .option('--limit <count>', 'entries', '50')
    .action(async ({ limit }: { limit: string }) => {
      reportOutcome(await settingsCommands.history(client(), limit, undefined, global().json));
    });
  root
    .command('targets')
    .description('targets as the asked daemon knows them')
    .action(async () => reportOutcome(await fleetCommands.listTargets(client(), global().json)));
  root
    .command('status')
    .description('state of the asked daemon')
    .action(async () => reportOutcome(await fleetCommands.showStatus(client(), global().json)));
  const stop = root.command('stop').description('planned stops');
  stop
    .command('announce <kind> <name>')
    .description('announce a planned stop of a target, vm or data-centre')
    .option('--grace <seconds>', 'time for running streams before they are moved', '60')
    .option('--id <id>', 'id of the stop')
    .action(async (kind: string, name: string, options: { grace: string; id?: string }) => {
      const { json } = global();
      reportOutcome(await fleetCommands.announceStop(client(), kind, name, { ...options, json }));
    });
  stop
    .command('cancel <id>')
    .description('the stop is over; work may come again')
    .action(async (id: string) => reportOutcome(await fleetCommands.cancelStop(client(), id)));
  stop
    .command('list')
    .description('announced stops, and whether it is safe to stop')
    .action(async () => reportOutcome(await fleetCommands.listStops(client(), global().json)));
}

export async function main(argv: readonly string[]): Promise<void> {
  await buildProgram().parseAsync([...argv]);
}
