/** The requests of an experiment: arrival times, lengths, organisations, shared prefixes. */
import * as domain from '@celerydrift/domain';

const { random } = domain.shared;

export interface Arrival {
  id: string;
  at: number;
  promptTokens: number;
  answerTokens: number;
  organisation: string;
  prefixKeys: number[];
  /** Daemon that the balancer gives it to. */
  daemon: number;
}

export interface Mix {
  /** Share of prompts over a hundred thousand tokens. */
  longShare: number;
  /** Requests per second over all. */
  rate: number;
  seconds: number;
  daemons: number;
  /** Share of requests of the largest of ten organisations. */
  skew: number;
  /** Share of requests that start with one of a few common prefixes. */
  prefixShare: number;
  /** Million-token prompts that arrive at once in the middle. */
  burst: number;
  seed: number;
}

/** Shortest and longest prompts, and the length that `longShare` of them exceed. */
const PROMPT_LENGTH = { least: 1_000, most: 1_000_000, long: 100_000 };

const COMMON_PREFIXES = 40;

/** Answer lengths: 245 tokens on average, as 4.9 M tokens/s over 20,000 requests/s. */
const ANSWER_LENGTH = { least: 20, mean: 225, most: 2_000 };

/**
 * A bounded Pareto length. The letter's three figures fix its one exponent: with one in fifty prompts
 * over a hundred times the shortest, it is ln 50 / ln 100 = 0.85.
 */
function drawPromptTokens(source: domain.shared.random.Random, longShare: number): number {
  const { least, most, long } = PROMPT_LENGTH;
  const exponent = -Math.log(longShare) / Math.log(long / least);
  const cut = (least / most) ** exponent;
  const rank = source.uniform() * (1 - cut);
  return Math.round(least / (1 - rank) ** (1 / exponent));
}

function drawAnswerTokens(source: domain.shared.random.Random): number {
  const { least, mean, most } = ANSWER_LENGTH;
  return Math.min(most, Math.round(least + random.exponential(source, mean)));
}

function drawOrganisation(source: domain.shared.random.Random, skew: number): string {
  return source.uniform() < skew ? 'org-0' : `org-${1 + random.below(source, 9)}`;
}

function drawPrefixKeys(
  source: domain.shared.random.Random,
  tokens: number,
  share: number,
): number[] {
  const blocks = Math.floor(tokens / domain.routing.prefixIndex.BLOCK_TOKENS);
  const shared = source.uniform() < share ? 1 + random.below(source, COMMON_PREFIXES) : 0;
  const own = Math.floor(source.uniform() * 2 ** 30);
  const common = shared === 0 ? 0 : Math.min(blocks, 2 + (shared % 6));
  return Array.from({ length: blocks }, (_value, block) =>
    block < common ? shared * 1_000 + block : own + block,
  );
}

/** All arrivals of a mix, in order of time. */
export function arrivals(mix: Mix): Arrival[] {
  const source = random.seeded(mix.seed);
  const list: Arrival[] = [];
  const add = (at: number, tokens: number): void => {
    list.push({
      id: `r${list.length}`,
      at,
      promptTokens: tokens,
      answerTokens: drawAnswerTokens(source),
      organisation: drawOrganisation(source, mix.skew),
      prefixKeys: drawPrefixKeys(source, tokens, mix.prefixShare),
      daemon: random.below(source, mix.daemons),
    });
  };
  const gap = 1_000 / mix.rate;
  for (let at = 0; at < mix.seconds * 1_000; at += random.exponential(source, gap)) {
    add(at, drawPromptTokens(source, mix.longShare));
  }
  for (let i = 0; i < mix.burst; i++) add(mix.seconds * 500 + i, 1_000_000);
  return list.sort((a, b) => a.at - b.at);
}
