/** `npm run check -- MODEL`: explores a model; the last line is one JSON object with counts and, where one broke, the story. */
import * as domain from '@celerydrift/domain';
import * as commander from 'commander';
import * as explorer from './explorer';
import * as models from './models';

const { quarantineModel } = models.quarantineModel;

const newQuarantine = (): domain.quarantine.quarantine.Quarantine =>
  new domain.quarantine.quarantine.Quarantine();

/** How each model is explored. */
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
  registry: exploreModel(
    models.registryModel.registryModel(() => new domain.registry.registry.Registry()),
  ),
};

type Explore = (depth: number, walks: explorer.RandomWalks) => Counts;

interface Counts extends explorer.Exploration {
  walks: number;
}

/** All orders up to a depth, and where these break nothing, stories that are drawn. */
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
  process.stderr.write(`check: no model ${name}; give one of ${Object.keys(MODELS).join(', ')}\n`);
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
  process.stderr.write(`check: --${name} ${text}: give a whole number from 0 to ${max}\n`);
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
    .description('Plays all orders of events of a model up to a depth, and random ones beyond it.')
    .argument('<model>', Object.keys(MODELS).join(', '))
    .option('--depth <n>', 'events of the longest story', '5')
    .option('--walks <n>', 'stories that are drawn at random after that', '0')
    .option('--length <n>', 'events of each of these', '12')
    .option('--seed <n>', 'seed of the first', '1')
    .action(check)
    .parse([...argv]);
}
