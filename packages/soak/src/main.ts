/**
 * Command line of the soak test (`npm run soak -- --seed N`). Runs a range of seeds, writes one JSON report per seed to
 * standard error and a JSON summary as the last line of standard output.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as commander from 'commander';
import type * as layout from './layout';
import * as refusalCounts from './refusalCounts';
import * as run from './run';

interface CliOptions {
  seed: string;
  seeds: string;
  seconds: string;
  parallel: string;
  size: string;
  program: string;
  folder: string;
  network: string;
  keep?: boolean;
}

function parseInteger(name: string, text: string, min: number, max: number): number {
  const number = Number(text);
  if (Number.isInteger(number) && number >= min && number <= max) return number;
  process.stderr.write(`soak: --${name} ${text}: expected an integer from ${min} to ${max}\n`);
  process.exit(2);
}

async function runAll(options: CliOptions): Promise<void> {
  const first = parseInteger('seed', options.seed, 0, 2 ** 31 - 1);
  const count = parseInteger('seeds', options.seeds, 1, 1_000);
  const seconds = parseInteger('seconds', options.seconds, 1, 3_600);
  const network = parseInteger('network', options.network, 1, 240);
  const parallel = parseInteger('parallel', options.parallel, 1, 8);
  if (options.size !== 'small' && options.size !== 'large') {
    process.stderr.write(`soak: --size ${options.size}: expected small or large\n`);
    process.exit(2);
  }
  const size: layout.Size = options.size;
  const seeds = Array.from({ length: count }, (_, i) => first + i);
  const reports: run.SeedReport[] = [];
  const runSeeds = async (networkNumber: number): Promise<void> => {
    for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
      const folder = path.resolve(options.folder, `seed-${seed}`);
      const program = path.resolve(options.program);
      const report = await run
        .runSeed({ seed, seconds, size, program, folder, network: networkNumber })
        .catch((error: unknown) => run.failedReport(seed, folder, error));
      reports.push(report);
      process.stderr.write(`${JSON.stringify(report)}\n`);
      const hasPassed = Object.keys(report.broken).length === 0;
      if (hasPassed && options.keep !== true)
        await fs.promises.rm(folder, { recursive: true, force: true });
    }
  };
  await Promise.all(Array.from({ length: parallel }, (_, i) => runSeeds(network + i)));
  const failed = reports.filter(({ broken }) => Object.keys(broken).length > 0);
  const sum = (of: (report: run.SeedReport) => number): number =>
    reports.reduce((total, report) => total + of(report), 0);
  const summary = {
    seeds: reports.length,
    failed: failed.map(({ seed, broken }) => ({ seed, broken })),
    steps: sum(({ steps }) => steps),
    asked: sum(({ asked }) => asked),
    served: sum(({ served }) => served),
    changes: sum(({ changes }) => changes),
    crashing: {
      contents: sum(({ crashing }) => crashing.contents),
      copies: sum(({ crashing }) => crashing.copies),
      ended: sum(({ crashing }) => crashing.ended),
    },
    refusals: refusalCounts.sum(reports.map(({ refusals }) => refusals)),
  };
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  process.exit(failed.length === 0 ? 0 : 1);
}

export async function main(argv: readonly string[]): Promise<void> {
  await new commander.Command('soak')
    .description(
      'Runs real processes under injected faults and checks the guarantees of the fleet.',
    )
    .option('--seed <n>', 'first seed', '1')
    .option('--seeds <n>', 'number of consecutive seeds', '1')
    .option('--seconds <n>', 'duration of the fault schedule in each run', '20')
    .option('--parallel <n>', 'number of concurrent runs', '1')
    .option('--size <size>', 'small or large', 'small')
    .option(
      '--program <file>',
      'program that the keeper and entry processes run',
      'target/celerydrift.js',
    )
    .option('--folder <folder>', 'folder that keeps the files of failed runs', 'soak-runs')
    .option('--network <n>', "second byte of the first run's loopback addresses (127/8)", '40')
    .option('--keep', 'also keep the folders of runs that passed')
    .action(runAll)
    .parseAsync([...argv]);
}
