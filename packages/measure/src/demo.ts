/**
 * `npm run demo`: runs three daemons with data folders, four engines and two services with the settings of two teams.
 * Sends prompts from a thousand to a million tokens and a service call that is resent, and kills an engine and a daemon
 * meanwhile. Prints times to first token, outcomes and the audit trail; exits 1 if a guarantee was violated.
 */
import * as domain from '@celerydrift/domain';
import * as client from './client';
import * as loadGenerator from './faults/loadGenerator';
import * as fleet from './fleet';
import * as processes from './processes';
import * as statistics from './statistics';
import * as teams from './teams';

/** Faster than the default stand-in engine, so that a prompt of a million tokens fits into a demo. */
const FAST_ENGINE = { tokenMs: 0.002, stepBaseMs: 4, attentionTokens: 400_000 };

const LENGTHS: readonly { name: string; tokens: number; count: number }[] = [
  { name: '1k', tokens: 1_000, count: 60 },
  { name: '4k', tokens: 4_000, count: 40 },
  { name: '16k', tokens: 16_000, count: 20 },
  { name: '64k', tokens: 64_000, count: 8 },
  { name: '256k', tokens: 256_000, count: 3 },
  { name: '1M', tokens: 1_000_000, count: 1 },
];

const ANSWER_TOKENS = 20;

const PARALLEL = 8;

interface PromptResult {
  lengthName: string;
  completion: client.Completion;
  isWrong: boolean;
}

function print(line = ''): void {
  process.stdout.write(`${line}\n`);
}

/** All prompts in a seeded order, alternating between the teams. */
function planPrompts(): { lengthName: string; tokens: number; team: teams.Team; id: number }[] {
  const source = domain.shared.random.seeded(7);
  const all = LENGTHS.flatMap(({ name, tokens, count }) =>
    Array.from({ length: count }, () => ({ lengthName: name, tokens })),
  );
  const rest = all.slice(0, -1).sort(() => source.uniform() - 0.5);
  // The longest comes first, so that it runs beside all the others.
  return [all.at(-1) as (typeof all)[number], ...rest].map((each, id) => {
    return { ...each, team: id % 2 === 0 ? teams.FITTERS : teams.PITS, id };
  });
}

async function sendPrompt(
  target: fleet.Fleet,
  { lengthName, tokens, team, id }: ReturnType<typeof planPrompts>[number],
): Promise<PromptResult> {
  const prompt = client.promptOfLength(tokens, `demo${id}`);
  for (let attempt = id; ; attempt++) {
    const completion = await client.complete({
      entry: target.entryUrls[attempt % target.entryUrls.length],
      key: team.key,
      model: team.model,
      prompt,
      answerTokens: ANSWER_TOKENS,
      deadlineMs: 45_000,
    });
    const expected = loadGenerator.expectedText(prompt, ANSWER_TOKENS);
    const isWrong = !expected.startsWith(completion.text);
    // Like a load balancer, retries through another entry when this one is down or answers `not-run`.
    const isRefused = completion.status === 0 || completion.outcome === 'not-run';
    const isLost = !completion.whole && completion.outcome === '';
    if (isWrong || !(isRefused || isLost) || attempt > id + 6)
      return { lengthName, completion, isWrong };
    await processes.sleep(100);
  }
}

async function sendAll(
  target: fleet.Fleet,
  onProgress: (done: number) => void,
): Promise<PromptResult[]> {
  const queue = planPrompts();
  const results: PromptResult[] = [];
  await Promise.all(
    Array.from({ length: PARALLEL }, async () => {
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
        results.push(await sendPrompt(target, next));
        onProgress(results.length);
      }
    }),
  );
  return results;
}

/** Sends the same parts hold (a run-once service call) through each daemon; the service must run it once. */
async function resendHold(target: fleet.Fleet): Promise<{ runs: number; replayed: number }> {
  const responses: client.ServiceResponse[] = [];
  for (const entry of target.entryUrls) {
    const hold = { id: 'hold-4711' };
    const path = '/services/parts/holds';
    responses.push(await client.callService(entry, teams.FITTERS.key, path, hold.id, hold));
  }
  const runs = await target.callStandIn<Record<string, number>>('parts-1', '/runs');
  const replayed = responses.filter((response) => response.replayed).length;
  return { runs: runs['hold-4711'] ?? 0, replayed };
}

async function startFleet(): Promise<fleet.Fleet> {
  const target = await fleet.Fleet.plan({
    daemons: ['industrial-area', 'ruaraka', 'athi-river'].map((dataCentre) => {
      return { dataCentre, disk: true, founder: true };
    }),
    logLevel: 'warn',
    extraSettings: '[timeouts]\nsilence-ms = 500\n',
  });
  target.startDaemons();
  for (const name of ['engine-1', 'engine-2', 'engine-3', 'engine-4']) {
    await target.startEngine({ name, parameters: FAST_ENGINE });
  }
  await target.startService('parts-1', 'parts');
  await target.startService('ledger-1', 'ledger');
  await target.applySettings(teams.FITTERS.name, teams.FITTERS.settings, 0);
  await target.applySettings(teams.PITS.name, teams.PITS.settings, 0);
  await target.waitUntilReady();
  await target.waitForTargets(6);
  return target;
}

function printLatencies(results: readonly PromptResult[]): void {
  print('prompt   count   p50 ms   p95 ms   (time to first token)');
  LENGTHS.forEach(({ name }) => {
    const times = results
      .filter(({ lengthName, completion }) => lengthName === name && completion.whole)
      .map(({ completion }) => completion.ttftMs);
    if (times.length === 0) return;
    const { p50, p95, count } = statistics.percentiles(times);
    const cells = [
      String(count).padStart(5),
      p50.toFixed(0).padStart(8),
      p95.toFixed(0).padStart(8),
    ];
    print(`${name.padEnd(6)} ${cells.join(' ')}`);
  });
}

async function printAudit(target: fleet.Fleet): Promise<void> {
  const { content } = await target.callOperator<domain.control.state.AuditEntry[]>(
    'GET',
    'audit?limit=12',
  );
  print('audit trail, newest first');
  content.forEach(({ index, author, action, subject, detail }) => {
    print(`  ${index} ${author} ${action} ${subject} ${detail.slice(0, 60)}`);
  });
}

/** A guarantee, and whether it held. */
interface Guarantee {
  name: string;
  kept: boolean;
}

async function run(): Promise<Guarantee[]> {
  const target = await startFleet();
  try {
    print('three daemons, four engines, two services: ready');
    const first = await resendHold(target);
    const total = planPrompts().length;
    let isKilled = false;
    const results = await sendAll(target, (done) => {
      if (done < total / 3 || isKilled) return;
      isKilled = true;
      print('killing engine-2 and daemon vm-2');
      void target.standIns.get('engine-2')?.process.kill();
      void target.daemon('vm-2').kill();
      setTimeout(() => target.startDaemon('vm-2'), 3_000);
    });
    await target.waitUntilReady();
    const after = await resendHold(target);
    printLatencies(results);
    const outcomes = new Map<string, number>();
    results.forEach(({ completion: { outcome } }) => {
      outcomes.set(outcome || 'lost', (outcomes.get(outcome || 'lost') ?? 0) + 1);
    });
    print(`outcomes: ${JSON.stringify(Object.fromEntries(outcomes))}`);
    print(
      `hold sent six times; runs: ${after.runs}, ${first.replayed + after.replayed} answers from the ledger`,
    );
    await printAudit(target);
    return [
      { name: 'every prompt answered', kept: results.length === total },
      { name: 'every answer complete', kept: results.every(({ completion }) => completion.whole) },
      {
        name: 'no answer that belongs to another prompt',
        kept: results.every(({ isWrong }) => !isWrong),
      },
      { name: 'the hold ran once', kept: after.runs === 1 },
    ];
  } finally {
    await target.stopAll();
  }
}

export async function main(): Promise<void> {
  const guarantees = await run();
  guarantees.forEach(({ name, kept }) => print(`${kept ? 'held    ' : 'VIOLATED'} ${name}`));
  process.exit(guarantees.every(({ kept }) => kept) ? 0 : 1);
}
