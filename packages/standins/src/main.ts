/** Command that runs one stand-in, an engine or a plain service, and prints its name and port as JSON. */
import * as commander from 'commander';
import * as engineServer from './engine/engineServer';
import * as parameters from './engine/parameters';
import * as plainService from './service/plainService';

interface CommonOptions {
  name: string;
  port: string;
  dataCentre: string;
  entries: string;
  secret: string;
}

function addCommonOptions(command: commander.Command): commander.Command {
  return command
    .requiredOption('--name <name>', 'name to announce')
    .option('--port <port>', 'port to listen on; 0 selects a free one', '0')
    .option('--data-centre <name>', 'data centre', 'dc1')
    .requiredOption(
      '--entries <urls>',
      'base URLs of the entries to announce to, separated by commas',
    )
    .option('--secret <secret>', 'shared secret that authorizes announcements', 'targets');
}

function parseModels(text: string): { base: string; adapter: string; version: string }[] {
  return text.split(',').map((part) => {
    const [base = '', adapter = '', version = '1'] = part.split('/');
    return { base, adapter, version };
  });
}

async function runEngine(options: CommonOptions & Record<string, string>): Promise<void> {
  const overrides = JSON.parse(options.parameters ?? '{}') as Partial<parameters.Parameters>;
  const engine = new engineServer.EngineServer({
    name: options.name,
    host: '127.0.0.1',
    port: Number(options.port),
    dataCentre: options.dataCentre,
    models: parseModels(options.models ?? ''),
    fencing: options.fencing === 'ignored' ? 'ignored' : 'checked',
    entries: options.entries.split(','),
    secret: options.secret,
    parameters: { ...parameters.DEFAULT_PARAMETERS, ...overrides },
  });
  const port = await engine.start();
  process.stdout.write(`${JSON.stringify({ name: options.name, port })}\n`);
}

async function runService(options: CommonOptions & Record<string, string>): Promise<void> {
  const service = new plainService.PlainService({
    name: options.name,
    service: options.service ?? '',
    host: '127.0.0.1',
    port: Number(options.port),
    dataCentre: options.dataCentre,
    entries: options.entries.split(','),
    secret: options.secret,
    workMs: Number(options.workMs),
  });
  const port = await service.start();
  process.stdout.write(`${JSON.stringify({ name: options.name, port })}\n`);
}

export async function main(argv: readonly string[]): Promise<void> {
  const program = new commander.Command('celerydrift-standin');
  addCommonOptions(program.command('engine'))
    .option('--models <list>', 'loaded models as base/adapter/version, separated by commas', 'base')
    .option(
      '--fencing <mode>',
      'whether outdated fencing tokens are refused: checked or ignored',
      'checked',
    )
    .option('--parameters <json>', 'engine parameters that override the defaults', '{}')
    .action(runEngine);
  addCommonOptions(program.command('service'))
    .option('--service <name>', 'service name', 'parts')
    .option('--work-ms <ms>', 'duration of a call in milliseconds', '2')
    .action(runService);
  await program.parseAsync([...argv]);
}
