/** Draws the requests of an experiment: arrival times, lengths, organisations, shared prefixes. */
import * as domain from '@celerydrift/domain';

const { random } = domain.shared;

export interface Arrival {
  id: string;
  /** Milliseconds since the start. */
  at: number;
  promptTokens: number;
  answerTokens: number;
  organisation: string;
  prefixKeys: number[];
  /** Index of the daemon that the load balancer sends it to. */
  daemon: number;
}

export interface Mix {
  /** Fraction of prompts over a hundred thousand tokens. */
  longShare: number;
  /** Requests per second over all daemons. */
  rate: number;
  seconds: number;
  daemons: number;
  /** Fraction of requests that the largest of ten organisations sends. */
  skew: number;
  /** Fraction of requests that start with one of the common prefixes. */
  prefixShare: number;
  /** Number of million-token prompts that arrive together in the middle of the experiment. */
  burst: number;
  seed: number;
}

/** Bounds of the prompt length, and the length that a fraction `longShare` exceeds, tokens. */
const PROMPT_LENGTH = { min: 1_000, max: 1_000_000, long: 100_000 };

const COMMON_PREFIXES = 40;

/** Answer lengths, tokens: 245 on average, that is 4.9 M tokens/s at 20,000 requests/s. */
const ANSWER_LENGTH = { min: 20, mean: 225, max: 2_000 };

/**
 * Draws a prompt length from a bounded Pareto distribution. The shortest length, the long length and `longShare` fix
 * its exponent: with one in fifty prompts over a hundred times the shortest, it is ln 50 / ln 100 = 0.85.
 */
function drawPromptTokens(source: domain.shared.random.Random, longShare: number): number {
  const { min, max, long } = PROMPT_LENGTH;
  const exponent = -Math.log(longShare) / Math.log(long / min);
  const tail = (min / max) ** exponent;
  const quantile = source.uniform() * (1 - tail);
  return Math.round(min / (1 - quantile) ** (1 / exponent));
}

function drawAnswerTokens(source: domain.shared.random.Random): number {
  const { min, mean, max } = ANSWER_LENGTH;
  return Math.min(max, Math.round(min + random.exponential(source, mean)));
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
  const prefix = source.uniform() < share ? 1 + random.below(source, COMMON_PREFIXES) : 0;
  const ownKey = Math.floor(source.uniform() * 2 ** 30);
  const common = prefix === 0 ? 0 : Math.min(blocks, 2 + (prefix % 6));
  return Array.from({ length: blocks }, (_value, block) =>
    block < common ? prefix * 1_000 + block : ownKey + block,
  );
}

/** Draws all arrivals of a mix, ordered by time. */
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
  const meanGapMs = 1_000 / mix.rate;
  for (let at = 0; at < mix.seconds * 1_000; at += random.exponential(source, meanGapMs)) {
    add(at, drawPromptTokens(source, mix.longShare));
  }
  for (let i = 0; i < mix.burst; i++) add(mix.seconds * 500 + i, 1_000_000);
  return list.sort((a, b) => a.at - b.at);
}
