/** `npm run check -- MODEL`: explores a model; the last line is one JSON object with counts and, where one broke, the story. */
import * as domain from '@celerydrift/domain';
import * as commander from 'commander';
import * as explorer from './explorer';
import * as models from './models';

const { quarantineModel } = models.quarantineModel;

const make = (): domain.quarantine.quarantine.Quarantine =>
  new domain.quarantine.quarantine.Quarantine();

/** How each model is explored. */
const MODELS = {
  quarantine: exploration(quarantineModel({ culprits: 1, innocents: 2, isApart: true, make })),
  quarantineOfTwo: exploration(quarantineModel({ culprits: 2, innocents: 1, isApart: true, make })),
  quarantineWithoutLeader: exploration(
    quarantineModel({ culprits: 2, innocents: 1, isApart: false, make }),
  ),
  registry: exploration(
    models.registryModel.registryModel(() => new domain.registry.registry.Registry()),
  ),
};

type Explore = (depth: number, walks: explorer.Walks) => Counts;

interface Counts extends explorer.Exploration {
  walks: number;
}

/** All orders up to a depth, and where these break nothing, stories that are drawn. */
function exploration<World, Event>(model: explorer.Model<World, Event>): Explore {
  return (depth, walks) => {
    const all = explorer.explore(model, depth);
    if (all.finding !== undefined) return { ...all, walks: 0 };
    const drawn = explorer.walk(model, walks);
    return { ...all, walks: drawn.states, finding: drawn.finding };
  };
}

function exploreOf(name: string): Explore {
  if (name in MODELS) return MODELS[name as keyof typeof MODELS];
  process.stderr.write(`check: no model ${name}; give one of ${Object.keys(MODELS).join(', ')}\n`);
  return process.exit(2);
}

interface Words {
  depth: string;
  walks: string;
  length: string;
  seed: string;
}

function whole(name: string, text: string, most: number): number {
  const number = Number(text);
  if (Number.isInteger(number) && number >= 0 && number <= most) return number;
  process.stderr.write(`check: --${name} ${text}: give a whole number from 0 to ${most}\n`);
  process.exit(2);
}

function check(name: string, words: Words): void {
  const explore = exploreOf(name);
  const depth = whole('depth', words.depth, 30);
  const seed = whole('seed', words.seed, 2 ** 31 - 1);
  const count = whole('walks', words.walks, 1e9);
  const length = whole('length', words.length, 1_000);
  const begun = performance.now();
  const counts = explore(depth, { seed, count, length });
  const seconds = Math.round((performance.now() - begun) / 100) / 10;
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
