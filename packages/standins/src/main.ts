/** Starts one stand-in as a process: an engine or a plain service. Prints its address as JSON. */
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
    .requiredOption('--name <name>', 'name it announces')
    .option('--port <port>', 'port, 0 for any', '0')
    .option('--data-centre <name>', 'data centre', 'dc1')
    .requiredOption('--entries <urls>', 'entries to announce to, separated by commas')
    .option('--secret <secret>', 'secret for announcing', 'targets');
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
    .option('--models <list>', 'base/adapter/version, separated by commas', 'base')
    .option('--fencing <mode>', 'checked or ignored', 'checked')
    .option('--parameters <json>', 'engine parameters that differ from the defaults', '{}')
    .action(runEngine);
  addCommonOptions(program.command('service'))
    .option('--service <name>', 'service name', 'parts')
    .option('--work-ms <ms>', 'time a call takes', '2')
    .action(runService);
  await program.parseAsync([...argv]);
}
