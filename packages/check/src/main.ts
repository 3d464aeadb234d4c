/**
 * Command line of the model checker (`npm run check -- MODEL`). Its last line of output is a JSON object with the
 * number of states and events and, if a property is violated, the counterexample.
 */
import * as domain from '@celerydrift/domain';
import * as commander from 'commander';
import * as explorer from './explorer';
import * as models from './models';

const { quarantineModel } = models.quarantineModel;

const newQuarantine = (): domain.quarantine.quarantine.Quarantine =>
  new domain.quarantine.quarantine.Quarantine();

/** Exploration of each model, by name. */
const MODELS = {
  quarantine: exploreModel(
    quarantineModel({
      culprits: 1,
      innocents: 2,
      areSuspectsIsolated: true,
      newQuarantine,
    }),
  ),
  quarantineOfTwo: exploreModel(
    quarantineModel({
      culprits: 2,
      innocents: 1,
      areSuspectsIsolated: true,
      newQuarantine,
    }),
  ),
  quarantineWithoutLeader: exploreModel(
    quarantineModel({
      culprits: 2,
      innocents: 1,
      areSuspectsIsolated: false,
      newQuarantine,
    }),
  ),
  parts: exploreModel(models.partModel.partModel(newQuarantine)),
  replication: exploreModel(
    models.replicationModel.replicationModel(models.replicationModel.RULES),
  ),
  registry: exploreModel(
    models.registryModel.registryModel(() => new domain.registry.registry.Registry()),
  ),
};

type Explore = (depth: number, walks: explorer.RandomWalks) => Counts;

interface Counts extends explorer.Exploration {
  walks: number;
}

/** Explores all sequences of events up to a depth, and if these violate nothing, random walks. */
function exploreModel<State, Event>(model: explorer.Model<State, Event>): Explore {
  return (depth, walks) => {
    const exhaustive = explorer.explore(model, depth);
    if (exhaustive.finding !== undefined) return { ...exhaustive, walks: 0 };
    const sampled = explorer.walk(model, walks);
    return { ...exhaustive, walks: sampled.states, finding: sampled.finding };
  };
}

function findModel(name: string): Explore {
  if (name in MODELS) return MODELS[name as keyof typeof MODELS];
  process.stderr.write(
    `check: unknown model ${name}; expected one of ${Object.keys(MODELS).join(', ')}\n`,
  );
  return process.exit(2);
}

interface CliOptions {
  depth: string;
  walks: string;
  length: string;
  seed: string;
}

function parseInteger(name: string, text: string, max: number): number {
  const number = Number(text);
  if (Number.isInteger(number) && number >= 0 && number <= max) return number;
  process.stderr.write(`check: --${name} ${text}: expected an integer from 0 to ${max}\n`);
  process.exit(2);
}

function check(name: string, options: CliOptions): void {
  const explore = findModel(name);
  const depth = parseInteger('depth', options.depth, 30);
  const seed = parseInteger('seed', options.seed, 2 ** 31 - 1);
  const count = parseInteger('walks', options.walks, 1e9);
  const length = parseInteger('length', options.length, 1_000);
  const startedAt = performance.now();
  const counts = explore(depth, { seed, count, length });
  const seconds = Math.round((performance.now() - startedAt) / 100) / 10;
  process.stdout.write(`${JSON.stringify({ model: name, depth, ...counts, seconds })}\n`);
  process.exit(counts.finding === undefined ? 0 : 1);
}

export function main(argv: readonly string[]): void {
  new commander.Command('check')
    .description(
      'Explores all sequences of events of a model up to a depth, and random walks beyond it.',
    )
    .argument('<model>', Object.keys(MODELS).join(', '))
    .option('--depth <n>', 'maximum number of events in a sequence', '5')
    .option('--walks <n>', 'number of random walks after that', '0')
    .option('--length <n>', 'number of events in each walk', '12')
    .option('--seed <n>', 'seed of the first walk', '1')
    .action(check)
    .parse([...argv]);
}
