/**
 * Load generator: concurrent callers that send prompts of different lengths and run-once service calls through all
 * entries, and check each response. Like real callers, they resend a service call to another entry with the same
 * idempotency key when the first entry fails.
 */
import * as crypto from 'node:crypto';
import * as domain from '@celerydrift/domain';
import * as client from '../client';
import type * as fleet from '../fleet';
import type * as teams from '../teams';

export interface Counts {
  prompts: number;
  completed: number;
  /** No final event within the deadline and `TIMEOUT_MARGIN_MS`. */
  hung: number;
  /** Text that belongs to another prompt or is out of order. */
  wrong: number;
  /** Streams that ended before the last token without an error. */
  cut: number;
  /** Requests that ended with an explicit error. */
  failed: number;
  /** Requests refused with the outcome `not-run`; a caller may resend them. */
  notRun: number;
  /** Refused connections to an entry; a load balancer would have skipped it. */
  entryDown: number;
  /** Connections lost while the entry handled the request. */
  entryLost: number;
  calls: number;
  /** Service calls whose last outcome was `unknown`. */
  unknown: number;
}

export interface Call {
  id: string;
  /** The last outcome that the caller received. */
  outcome: 'completed' | 'not-run' | 'unknown' | 'failed' | 'lost';
}

const DEADLINE_MS = 20_000;

const TIMEOUT_MARGIN_MS = 3_000;

const PROMPT_TOKENS: readonly number[] = [1_000, 1_000, 2_000, 4_000, 8_000, 30_000, 120_000];

/** Digest by which the stand-in engine marks each token of the answer to a prompt. */
export function digestOf(prompt: string): string {
  return crypto.createHash('sha1').update(prompt).digest('hex').slice(0, 6);
}

/** The text that the stand-in engine generates for a prompt. */
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

  /** Number of explicit errors by message. */
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

  /** Runs until `stop` is called; resolves when every caller has its last response. */
  async run(promptCallers: number, serviceCallers: number): Promise<void> {
    await Promise.all([
      ...Array.from({ length: promptCallers }, () => this.repeat(() => this.sendPrompt())),
      ...Array.from({ length: serviceCallers }, () => this.repeat(() => this.callService())),
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
    const completion = await client.complete({
      entry: this.nextEntry(),
      key: this.team.key,
      model: this.team.model,
      prompt,
      answerTokens,
      deadlineMs: DEADLINE_MS,
      signal: AbortSignal.timeout(DEADLINE_MS + TIMEOUT_MARGIN_MS),
    });
    this.countResult(completion, expectedText(prompt, answerTokens), Date.now() - startedAt);
    if (completion.status !== 200) await this.pause();
  }

  private countResult(completion: client.Completion, expected: string, elapsedMs: number): void {
    const { counts } = this;
    if (!expected.startsWith(completion.text)) counts.wrong += 1;
    if (completion.whole && completion.text === expected) counts.completed += 1;
    else if (completion.whole) counts.cut += 1;
    else if (elapsedMs >= DEADLINE_MS + TIMEOUT_MARGIN_MS) counts.hung += 1;
    else if (completion.outcome === 'not-run') counts.notRun += 1;
    else if (completion.outcome === 'failed') this.countFailure(completion.error);
    else if (completion.error.includes('ECONNREFUSED')) counts.entryDown += 1;
    else if (completion.error !== '') counts.entryLost += 1;
    else counts.cut += 1;
  }

  private countFailure(error: string): void {
    this.counts.failed += 1;
    this.errors.set(error, (this.errors.get(error) ?? 0) + 1);
  }

  private async callService(): Promise<void> {
    this.counts.calls += 1;
    const id = `call-${this.counts.calls}`;
    let outcome: Call['outcome'] = 'lost';
    for (let attempt = 0; attempt < 4; attempt++) {
      const response = await client.callService(
        this.nextEntry(),
        this.team.key,
        this.servicePath,
        id,
        { id },
      );
      if (response.outcome !== '') outcome = response.outcome as Call['outcome'];
      if (outcome === 'completed') break;
      await this.pause();
    }
    if (outcome === 'unknown') this.counts.unknown += 1;
    this.calls.push({ id, outcome });
    await this.pause();
  }

  private async pause(): Promise<void> {
    await new Promise((resolve) => {
      setTimeout(resolve, 40);
    });
  }
}
