/**
 * Callers that never rest: prompts of unlike lengths and calls that run once, through all entries, each
 * answer checked against what it must be. A caller whose entry died sends again to another, with the
 * same idempotency key, as real ones do.
 */
import * as crypto from 'node:crypto';
import * as domain from '@celerydrift/domain';
import * as client from '../client';
import type * as fleet from '../fleet';
import type * as teams from '../teams';

export interface Counts {
  prompts: number;
  completed: number;
  /** No final answer within the deadline and a margin. */
  hung: number;
  /** Text of another prompt, or out of order. */
  wrong: number;
  /** A stream that ended without its last token and without saying so. */
  cut: number;
  /** Ended with an explicit error. */
  failed: number;
  /** Refused as not run; the caller came again. */
  notRun: number;
  /** The entry was not listening; the balancer would have known. */
  entryDown: number;
  /** The entry died under the caller; it sent again. */
  entryLost: number;
  calls: number;
  unknown: number;
}

export interface Call {
  id: string;
  /** What the caller was told at last. */
  outcome: 'completed' | 'not-run' | 'unknown' | 'failed' | 'lost';
}

const DEADLINE_MS = 20_000;

const TIMEOUT_MARGIN_MS = 3_000;

const PROMPT_TOKENS: readonly number[] = [1_000, 1_000, 2_000, 4_000, 8_000, 30_000, 120_000];

export function digestOf(prompt: string): string {
  return crypto.createHash('sha1').update(prompt).digest('hex').slice(0, 6);
}

/** What the stand-in answers to a prompt, token by token. */
export function expectedText(prompt: string, tokens: number): string {
  const digest = digestOf(prompt);
  return Array.from({ length: tokens }, (_value, position) => `${digest}.${position} `).join('');
}

export class LoadGenerator {
  readonly counts: Counts = {
    prompts: 0,
    completed: 0,
    hung: 0,
    wrong: 0,
    cut: 0,
    failed: 0,
    notRun: 0,
    entryDown: 0,
    entryLost: 0,
    calls: 0,
    unknown: 0,
  };

  readonly calls: Call[] = [];

  /** Explicit errors, for the report. */
  readonly errors = new Map<string, number>();

  private isRunning = true;

  private entryCursor = 0;

  private readonly random: domain.shared.random.Random;

  constructor(
    private readonly fleet: fleet.Fleet,
    private readonly team: teams.Team,
    private readonly servicePath: string,
    seed: number,
  ) {
    this.random = domain.shared.random.seeded(seed);
  }

  /** Runs until stopped; resolves when every worker has its last answer. */
  async run(prompters: number, callers: number): Promise<void> {
    await Promise.all([
      ...Array.from({ length: prompters }, () => this.repeat(() => this.sendPrompt())),
      ...Array.from({ length: callers }, () => this.repeat(() => this.callService())),
    ]);
  }

  stop(): void {
    this.isRunning = false;
  }

  private async repeat(action: () => Promise<void>): Promise<void> {
    while (this.isRunning) await action();
  }

  private nextEntry(): string {
    this.entryCursor += 1;
    return this.fleet.entryUrls[this.entryCursor % this.fleet.entryUrls.length];
  }

  private async sendPrompt(): Promise<void> {
    this.counts.prompts += 1;
    const tokens = domain.shared.random.pick(this.random, PROMPT_TOKENS);
    const prompt = client.promptOfLength(tokens, `p${this.counts.prompts}`);
    const answerTokens = 2 + Math.floor(this.random.uniform() * 30);
    const startedAt = Date.now();
    const result = await client.complete({
      entry: this.nextEntry(),
      key: this.team.key,
      model: this.team.model,
      prompt,
      answerTokens,
      deadlineMs: DEADLINE_MS,
      signal: AbortSignal.timeout(DEADLINE_MS + TIMEOUT_MARGIN_MS),
    });
    this.countResult(result, expectedText(prompt, answerTokens), Date.now() - startedAt);
    if (result.status !== 200) await this.pause();
  }

  private countResult(result: client.Completion, expected: string, tookMs: number): void {
    const { counts } = this;
    if (!expected.startsWith(result.text)) counts.wrong += 1;
    if (result.whole && result.text === expected) counts.completed += 1;
    else if (result.whole) counts.cut += 1;
    else if (tookMs >= DEADLINE_MS + TIMEOUT_MARGIN_MS) counts.hung += 1;
    else if (result.outcome === 'not-run') counts.notRun += 1;
    else if (result.outcome === 'failed') this.countFailure(result.error);
    else if (result.error.includes('ECONNREFUSED')) counts.entryDown += 1;
    else if (result.error !== '') counts.entryLost += 1;
    else counts.cut += 1;
  }

  private countFailure(error: string): void {
    this.counts.failed += 1;
    this.errors.set(error, (this.errors.get(error) ?? 0) + 1);
  }

  private async callService(): Promise<void> {
    this.counts.calls += 1;
    const id = `call-${this.counts.calls}`;
    let told: Call['outcome'] = 'lost';
    for (let tries = 0; tries < 4; tries++) {
      const answer = await client.callService(
        this.nextEntry(),
        this.team.key,
        this.servicePath,
        id,
        { id },
      );
      if (answer.outcome !== '') told = answer.outcome as Call['outcome'];
      if (told === 'completed') break;
      await this.pause();
    }
    if (told === 'unknown') this.counts.unknown += 1;
    this.calls.push({ id, outcome: told });
    await this.pause();
  }

  private async pause(): Promise<void> {
    await new Promise((resolve) => {
      setTimeout(resolve, 40);
    });
  }
}
