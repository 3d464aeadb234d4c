/** The celerydriftd command: reads the settings file, runs a daemon and stops it on SIGTERM or SIGINT. */
import * as fs from 'node:fs';
import * as domain from '@celerydrift/domain';
import * as commander from 'commander';
import * as configuration from './configuration/configuration';
import * as daemon from './daemon';

/** Process exit codes. */
const EXIT = { badSettings: 2, cannotStart: 3, diskFailure: 4 } as const;

function readConfiguration(file: string): configuration.Configuration | undefined {
  let text: string;
  try {
    text = fs.readFileSync(file, 'utf8');
  } catch (error) {
    process.stderr.write(`celerydriftd: ${file}: ${String(error)}\n`);
    return undefined;
  }
  const result = configuration.read(text);
  if (result.ok) return result.val;
  result.val.forEach((problem) => {
    process.stderr.write(`celerydriftd: ${file}: ${domain.settings.schema.describe(problem)}\n`);
  });
  return undefined;
}

function onDiskFailure(error: unknown): void {
  // After a failed sync the content of the disk is unknown; only a replay at the next start can tell.
  process.stderr.write(`celerydriftd: disk failure: ${String(error)}\n`);
  process.exit(EXIT.diskFailure);
}

async function run(file: string, checkOnly: boolean): Promise<void> {
  const settings = readConfiguration(file);
  if (settings === undefined) {
    process.exitCode = EXIT.badSettings;
    return;
  }
  if (checkOnly) return;
  const started = await daemon.Daemon.start(settings, onDiskFailure);
  if (started.err) {
    process.stderr.write(`celerydriftd: ${started.val.kind}: ${started.val.detail}\n`);
    process.exit(EXIT.cannotStart);
  }
  const runningDaemon = started.val;
  const stop = (): void => {
    void runningDaemon.stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

export async function main(argv: readonly string[]): Promise<void> {
  const program = new commander.Command('celerydriftd');
  program
    .description('Routes prompts from callers to model engines. One daemon runs on every VM.')
    .argument('<settings>', 'INI file with the settings of this daemon')
    .option('--check', 'check the settings file and exit')
    .action((file: string, options: { check?: boolean }) => run(file, options.check === true));
  await program.parseAsync([...argv]);
}
