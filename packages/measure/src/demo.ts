/**
 * `npm run demo`: three daemons with data folders, three engines, two services, two teams' settings;
 * prompts from a thousand to a million tokens, a resent parts hold, an engine and a daemon killed on the
 * way. Prints time to first token, outcomes and the audit trail; exits 1 if a promise broke.
 */
import * as domain from '@celerydrift/domain';
import * as client from './client';
import * as workers from './faults/loadGenerator';
import * as fleet from './fleet';
import * as processes from './processes';
import * as statistics from './statistics';
import * as teams from './teams';

/** Faster than the measured stand-in, so that a million tokens fit into a demo. */
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

/** All prompts in a seeded order, from both teams through all entries. */
function planPrompts(): { length: string; tokens: number; team: teams.Team; id: number }[] {
  const source = domain.shared.random.seeded(7);
  const all = LENGTHS.flatMap(({ name, tokens, count }) =>
    Array.from({ length: count }, () => ({ length: name, tokens })),
  );
  const rest = all.slice(0, -1).sort(() => source.uniform() - 0.5);
  // The longest first, so that it runs beside all the others.
  return [all.at(-1) as (typeof all)[number], ...rest].map((each, id) => {
    return { ...each, team: id % 2 === 0 ? teams.FITTERS : teams.PITS, id };
  });
}

async function sendPrompt(
  target: fleet.Fleet,
  { length, tokens, team, id }: ReturnType<typeof planPrompts>[number],
): Promise<PromptResult> {
  const prompt = client.promptOfLength(tokens, `demo${id}`);
  for (let turn = id; ; turn++) {
    const completion = await client.complete({
      entry: target.entryUrls[turn % target.entryUrls.length],
      key: team.key,
      model: team.model,
      prompt,
      answerTokens: ANSWER_TOKENS,
      deadlineMs: 45_000,
    });
    const expected = workers.expectedText(prompt, ANSWER_TOKENS);
    const wrong = !expected.startsWith(completion.text);
    // Like the balancer, goes to another entry when this one is down or refuses as not run.
    const again = completion.status === 0 || completion.outcome === 'not-run';
    const lost = !completion.whole && completion.outcome === '';
    if (wrong || !(again || lost) || turn > id + 6)
      return { lengthName: length, completion, isWrong: wrong };
    await processes.sleep(100);
  }
}

async function sendAll(
  target: fleet.Fleet,
  onProgress: (done: number) => void,
): Promise<PromptResult[]> {
  const waiting = planPrompts();
  const sent: PromptResult[] = [];
  await Promise.all(
    Array.from({ length: PARALLEL }, async () => {
      for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
        sent.push(await sendPrompt(target, next));
        onProgress(sent.length);
      }
    }),
  );
  return sent;
}

/** The same hold through three daemons; one hold must go out. */
async function resendHold(target: fleet.Fleet): Promise<{ runs: number; replayed: number }> {
  const answers: client.ServiceResponse[] = [];
  for (const entry of target.entryUrls) {
    const hold = { id: 'hold-4711' };
    const path = '/services/parts/holds';
    answers.push(await client.callService(entry, teams.FITTERS.key, path, hold.id, hold));
  }
  const runs = await target.callStandIn<Record<string, number>>('parts-1', '/runs');
  const replayed = answers.filter((answer) => answer.replayed).length;
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

function printLatencies(sent: readonly PromptResult[]): void {
  print('prompt   count   p50 ms   p95 ms   (time to first token)');
  LENGTHS.forEach(({ name }) => {
    const times = sent
      .filter(({ lengthName: length, completion }) => length === name && completion.whole)
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
  const { content } = await target.callOperator<domain.control.state.Audit[]>(
    'GET',
    'audit?limit=12',
  );
  print('audit trail, newest first');
  content.forEach(({ index, author, action, subject, detail }) => {
    print(`  ${index} ${author} ${action} ${subject} ${detail.slice(0, 60)}`);
  });
}

/** One promise, and whether it was kept. */
interface Guarantee {
  name: string;
  kept: boolean;
}

async function run(): Promise<Guarantee[]> {
  const target = await startFleet();
  try {
    print('three daemons, four engines, two services: ready');
    const hold = await resendHold(target);
    const total = planPrompts().length;
    let killed = false;
    const sent = await sendAll(target, (done) => {
      if (done < total / 3 || killed) return;
      killed = true;
      print('killing engine-2 and daemon vm-2');
      void target.standIns.get('engine-2')?.process.kill();
      void target.daemon('vm-2').kill();
      setTimeout(() => target.startDaemon('vm-2'), 3_000);
    });
    await target.waitUntilReady();
    const after = await resendHold(target);
    printLatencies(sent);
    const outcomes = new Map<string, number>();
    sent.forEach(({ completion: { outcome } }) => {
      outcomes.set(outcome || 'lost', (outcomes.get(outcome || 'lost') ?? 0) + 1);
    });
    print(`outcomes: ${JSON.stringify(Object.fromEntries(outcomes))}`);
    print(
      `hold sent six times: ran ${after.runs} time, ${hold.replayed + after.replayed} answers from the ledger`,
    );
    await printAudit(target);
    return [
      { name: 'every prompt answered', kept: sent.length === total },
      { name: 'every answer whole', kept: sent.every(({ completion }) => completion.whole) },
      { name: 'no answer of another prompt', kept: sent.every(({ isWrong: wrong }) => !wrong) },
      { name: 'the hold ran once', kept: after.runs === 1 },
    ];
  } finally {
    await target.stopAll();
  }
}

export async function main(): Promise<void> {
  const promises = await run();
  promises.forEach(({ name, kept }) => print(`${kept ? 'kept  ' : 'BROKEN'} ${name}`));
  process.exit(promises.every(({ kept }) => kept) ? 0 : 1);
}
