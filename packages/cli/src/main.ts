/** Command tree of `celerydrift`, the operators' command-line tool. */
import * as commander from 'commander';
import { Ok, Result } from 'ts-results';
import * as errors from './errors';
import * as evacuationCommands from './evacuationCommands';
import * as fleetCommands from './fleetCommands';
import * as keepersClient from './keepersClient';
import * as operatorsClient from './operatorsClient';
import * as output from './output';
import * as settingsCommands from './settingsCommands';

interface GlobalOptions {
  entry: string;
  token: string;
  json: boolean;
}

const HELP = `
Exit codes: 0 success, 2 usage error or invalid settings, 3 conflict, 4 refused,
5 no daemon or keeper gave a definite answer, 6 accepted but not in force on all daemons within the timeout.

Examples:
  celerydrift settings check fitters.ini
  celerydrift settings apply fitters fitters.ini --wait
  celerydrift stop announce target engine-7 --grace 60
  celerydrift evacuate ruaraka --keeper 10.0.0.7:8080,10.0.0.8:8080
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
    .description('Manages the settings, planned stops and evacuations of a celerydrift fleet.')
    .option(
      '--entry <urls>',
      'base URLs of the operators API of one or more daemons, separated by commas',
      process.env.CELERYDRIFT_ENTRY ?? 'http://127.0.0.1:8082',
    )
    .option('--token <token>', 'operator token', process.env.CELERYDRIFT_TOKEN ?? '')
    .option('--json', 'print output as JSON', false)
    .addHelpText('after', HELP);
  const global = (): GlobalOptions => root.opts<GlobalOptions>();
  const client = (): operatorsClient.OperatorsClient => {
    const { entry, token } = global();
    return new operatorsClient.OperatorsClient(entry.split(','), token);
  };
  addSettingsCommands(root, global, client);
  addFleetCommands(root, global, client);
  addEvacuationCommands(root, global);
  return root;
}

function addSettingsCommands(
  root: commander.Command,
  global: () => GlobalOptions,
  client: () => operatorsClient.OperatorsClient,
): void {
  const settings = root.command('settings').description('manage the settings tree');
  settings
    .command('check <file>')
    .description('validate a file locally, without sending it')
    .action((file: string) => {
      const result = settingsCommands.check(file);
      if (result.ok) output.line('settings are valid');
      reportOutcome(result.ok ? Ok(undefined) : result);
    });
  settings
    .command('show [subtree]')
    .description('print a subtree that is in force, or list all subtrees')
    .action(async (subtree?: string) => {
      reportOutcome(await settingsCommands.show(client(), subtree, global().json));
    });
  settings
    .command('diff <subtree> <file>')
    .description('show what applying a file would change')
    .action(async (subtree: string, file: string) => {
      reportOutcome(await settingsCommands.diff(client(), subtree, file, global().json));
    });
  settings
    .command('apply <subtree> <file>')
    .description('apply a file to a subtree; an empty file removes the subtree')
    .option(
      '--based-on <revision>',
      'revision that the change is based on (default: the current revision)',
    )
    .option('--id <id>', 'change id (idempotency key); resending it returns the first result')
    .option('--wait', 'wait until the change is in force on all daemons')
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
    .description('list accepted changes, newest first')
    .option('--limit <count>', 'maximum number of records', '50')
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
    .description('list actions of operators and of the system, newest first')
    .option('--limit <count>', 'maximum number of records', '50')
    .action(async ({ limit }: { limit: string }) => {
      reportOutcome(await settingsCommands.history(client(), limit, undefined, global().json));
    });
  root
    .command('targets')
    .description('list the targets known to the queried daemon')
    .action(async () => reportOutcome(await fleetCommands.listTargets(client(), global().json)));
  root
    .command('status')
    .description('print the state of the queried daemon')
    .action(async () => reportOutcome(await fleetCommands.showStatus(client(), global().json)));
  const stop = root.command('stop').description('manage planned stops');
  stop
    .command('announce <kind> <name>')
    .description('announce a planned stop; <kind> is target, vm or data-centre')
    .option('--grace <seconds>', 'grace period in seconds before running streams are moved', '60')
    .option('--id <id>', 'id of the stop (default: a random UUID)')
    .action(async (kind: string, name: string, options: { grace: string; id?: string }) => {
      const { json } = global();
      reportOutcome(await fleetCommands.announceStop(client(), kind, name, { ...options, json }));
    });
  stop
    .command('cancel <id>')
    .description('cancel a planned stop, so that requests are sent there again')
    .action(async (id: string) => reportOutcome(await fleetCommands.cancelStop(client(), id)));
  stop
    .command('list')
    .description('list planned stops and whether it is safe to stop')
    .action(async () => reportOutcome(await fleetCommands.listStops(client(), global().json)));
}

function addEvacuationCommands(root: commander.Command, global: () => GlobalOptions): void {
  const addCommand = (name: string, description: string): commander.Command => {
    const { CELERYDRIFT_KEEPER: keeper } = process.env;
    const option = new commander.Option(
      '--keeper <addresses>',
      'control addresses of one or more keepers as HOST:PORT, separated by commas',
    ).makeOptionMandatory(true);
    const command = root.command(name).description(description);
    return command.addOption(keeper === undefined ? option : option.default(keeper));
  };
  const clientOf = ({ keeper }: { keeper: string }): keepersClient.KeepersClient => {
    return new keepersClient.KeepersClient(keeper.split(','));
  };
  addCommand('evacuate <data-centre>', 'send nothing more to the targets of a data centre')
    .option('--end', 'end the evacuation', false)
    .action(async (dataCentre: string, options: { keeper: string; end: boolean }) => {
      const { json } = global();
      const { end } = options;
      reportOutcome(await evacuationCommands.order(clientOf(options), dataCentre, { end, json }));
    });
  addCommand(
    'evacuations',
    'list evacuated data centres, and the entries that lack a change',
  ).action(async (options: { keeper: string }) => {
    reportOutcome(await evacuationCommands.list(clientOf(options), global().json));
  });
}

export async function main(argv: readonly string[]): Promise<void> {
  await buildProgram().parseAsync([...argv]);
}
