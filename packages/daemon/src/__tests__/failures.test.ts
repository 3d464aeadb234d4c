/** The brief's failures, each with its story, against daemons and stand-ins in this process. */
import * as crypto from 'node:crypto';
import * as chai from 'chai';
import * as undici from 'undici';
import * as daemonFleet from './__fixtures__/daemonFleet';

const { expect } = chai;

function expectedText(prompt: string, tokens: number): string {
  const digest = crypto.createHash('sha1').update(prompt).digest('hex').slice(0, 6);
  return Array.from({ length: tokens }, (_v, position) => `${digest}.${position} `).join('');
}

function textOf(reply: daemonFleet.Reply): string {
  const content = JSON.parse(reply.text) as { choices?: { text: string }[] };
  return content.choices?.[0]?.text ?? reply.text;
}

describe('failures of engines', () => {
  const fleet = new daemonFleet.DaemonFleet();

  before(async () => {
    await fleet.start(1);
    await fleet.startEngine('engine-1');
    await fleet.startEngine('engine-2');
  });

  after(() => fleet.stop());

  async function holdings(): Promise<number> {
    return [...fleet.engines.values()].reduce((sum, { held }) => sum + held.list().length, 0);
  }

  async function nothingHeld(): Promise<void> {
    await until('nothing held', async () => (await holdings()) === 0);
    const [daemon] = fleet.daemons;
    await until('nothing owed', () => daemon?.holdings.holdings.size === 0);
  }

  const { until } = daemonFleet;

  async function everyEngine(kind: string, count: number, delayMs = 0): Promise<void> {
    for (const name of fleet.engines.keys()) await fleet.injectFault(name, kind, count, delayMs);
  }

  async function cleared(): Promise<void> {
    for (const name of fleet.engines.keys()) await fleet.injectFault(name, 'clear');
  }

  /*
   * A fitter gets another fitter's quote: an engine answers on a connection with frames of another
   * request. The frames must be dropped, and the fitter gets his own whole answer from elsewhere.
   */
  it('drops frames of another request and answers from elsewhere', async () => {
    await fleet.injectFault('engine-1', 'cross', 1);
    await fleet.injectFault('engine-2', 'cross', 1);
    const replies = await Promise.all(
      ['a', 'b', 'c', 'd'].map((prompt) => fleet.complete(prompt, 20)),
    );
    expect(replies.map(textOf)).to.deep.equal(['a', 'b', 'c', 'd'].map((p) => expectedText(p, 20)));
    await cleared();
    await nothingHeld();
  });

  /*
   * A foreman takes half a summary for the whole one: the connection ended early. The daemon reads the
   * rest from the engine over a new connection, at the position it had.
   */
  it('resumes a cut stream at its position', async () => {
    await everyEngine('cut', 2);
    const reply = await fleet.complete('cut me', 30);
    expect([reply.status, textOf(reply)]).to.deep.equal([200, expectedText('cut me', 30)]);
    await cleared();
    await nothingHeld();
  });

  /*
   * A quote never comes: open connections went silent, the engine works on. Asked over a new
   * connection it says that it is decoding, so the stream is read again over a new one.
   */
  it('finds a silent connection of a living engine and reads on over a new one', async () => {
    const engine = await fleet.startEngine('slow', { stepBaseMs: 20 });
    await fleet.engines.get('engine-1')?.leave();
    await fleet.engines.get('engine-2')?.leave();
    const running = fleet.complete('silent', 40);
    await until('running', () => engine.model.size === 1);
    await fleet.injectFault('slow', 'silent');
    const reply = await running;
    expect([reply.status, textOf(reply)]).to.deep.equal([200, expectedText('silent', 40)]);
  });

  /*
   * A fitter's short lookup takes until its deadline: the daemon sent it over a pooled connection that had
   * gone silent while idle, and waited for the headers of an answer that could not come.
   */
  it('does not wait for headers on a pooled connection that went silent', async () => {
    await fleet.complete('warms the pool', 2);
    await fleet.injectFault('slow', 'silent');
    const reply = await fleet.complete('over the silent one', 5);
    expect([reply.status, textOf(reply)]).to.deep.equal([
      200,
      expectedText('over the silent one', 5),
    ]);
    await nothingHeld();
  });

  /*
   * A planned stop of an engine must cut no request: what runs there goes on to its end or is moved,
   * and nothing new goes there.
   */
  it('moves a stream that outlasts the grace of a planned stop, whole', async () => {
    const running = fleet.complete('moved', 60);
    await until('running', () => fleet.engines.get('slow')?.model.size === 1);
    await fleet.startEngine('spare');
    const stop = { id: 's1', subject: 'target', name: 'slow', graceSeconds: 0 };
    const announced = await fleet.operator('POST', 'stops', stop);
    const reply = await running;
    expect([announced.status, reply.status, textOf(reply)]).to.deep.equal([
      200,
      200,
      expectedText('moved', 60),
    ]);
    await until('safe to stop', async () => {
      const { content } = await fleet.operator('GET', 'stops');
      return (content as unknown as { progress: string }[])[0]?.progress === 'safeToStop';
    });
    const before = fleet.engines.get('slow')?.started.size;
    await fleet.complete('after the stop', 3);
    expect(fleet.engines.get('slow')?.started.size).to.equal(before);
    await nothingHeld();
  });

  /*
   * A fitter closes his tablet and the engine goes on computing for nobody. The request is cancelled
   * there, and again until the engine confirmed.
   */
  it('cancels on the engine when the caller goes', async () => {
    const gone = new AbortController();
    const body = JSON.stringify({ model: 'quotes', prompt: 'gone', max_tokens: 20_000 });
    const running = undici
      .request(`${fleet.url()}/v1/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${daemonFleet.KEY}` },
        body,
        signal: gone.signal,
      })
      .catch(() => undefined);
    const engine = fleet.engines.get('spare');
    await until('running', () => engine?.model.size === 1);
    gone.abort();
    await running;
    await nothingHeld();
    expect(engine?.model.size).to.equal(0);
  });

  /*
   * Engines die while prompts run, one after the other, and one comes back in a new life. Every prompt
   * ends: whole, or with an explicit error; the new life is used again.
   */
  it('ends every request when engines die, twice', async () => {
    await fleet.startEngine('second');
    const prompts = Array.from({ length: 12 }, (_v, i) => `dying ${i}`);
    const running = prompts.map((prompt) => fleet.complete(prompt, 200));
    await until('running', () => (fleet.engines.get('spare')?.model.size ?? 0) > 0);
    await fleet.engines.get('spare')?.stop();
    await fleet.startEngine('spare');
    await fleet.engines.get('second')?.stop();
    const replies = await Promise.all(running);
    replies.forEach((reply, i) => {
      const prompt = prompts[i];
      if (reply.status === 200) expect(textOf(reply)).to.equal(expectedText(prompt, 200));
      else expect(reply.outcome).to.be.oneOf(['failed', 'not-run']);
    });
    expect(replies.filter(({ status }) => status === 200).length).to.be.greaterThan(8);
    const after = await fleet.complete('after', 3);
    expect(after.status).to.equal(200);
  });

  /*
   * A prompt longer than one engine's memory: other engines lend theirs, all or none, and everything
   * is given back.
   */
  it('serves a prompt longer than an engine on memory of several, and gives all back', async () => {
    await fleet.startEngine('third');
    await fleet.startEngine('fourth');
    await until('gone', () => fleet.daemons[0]?.targets.get('second')?.status === 'gone');
    const prompt = 'long '.repeat(480_000);
    const body = { model: 'quotes', prompt, max_tokens: 3 };
    const reply = await fleet.call('POST', '/v1/completions', body, {
      headers: { 'x-deadline-ms': '60000' },
    });
    expect([reply.status, textOf(reply)]).to.deep.equal([200, expectedText(prompt, 3)]);
    const reserved = [...fleet.engines.values()].map(({ model }) => model.reservedTokens);
    await until(
      'given back',
      () => reserved.length > 0 && fleet.daemons[0]?.holdings.holdings.size === 0,
    );
    expect([...fleet.engines.values()].every(({ model }) => model.reservedTokens === 0)).to.equal(
      true,
    );
  });
});

describe('calls that run once', () => {
  const fleet = new daemonFleet.DaemonFleet();

  before(async () => {
    await fleet.start(3);
    await fleet.startService('parts-1');
    await fleet.startService('parts-2');
  });

  after(() => fleet.stop());

  function hold(id: string, index: number): Promise<daemonFleet.Reply> {
    const headers = { 'idempotency-key': id };
    return fleet.call('POST', '/services/parts/holds', { id }, { index, headers });
  }

  function runs(id: string): number {
    return [...fleet.services.values()].reduce((sum, each) => sum + (each.runs.get(id) ?? 0), 0);
  }

  /*
   * A parts hold goes out twice: the clerk got no answer and sent again, and the balancer gave the
   * resend to another daemon while the first was still running.
   */
  it('runs a hold once, however often and wherever it is sent', async () => {
    await fleet.injectFault('parts-1', 'late', 1, 200);
    const replies = await Promise.all([0, 1, 2, 0, 1].map((index) => hold('h1', index)));
    const later = await hold('h1', 2);
    const texts = new Set([...replies, later].map(({ text }) => text));
    expect([texts.size, runs('h1'), later.headers['x-celerydrift-replayed']]).to.deep.equal([
      1,
      1,
      'true',
    ]);
    await fleet.injectFault('parts-1', 'clear');
  });

  /*
   * The service ran the hold and died before it answered. Nobody can say, so the clerk hears "unknown",
   * also on a resend, and the hold is never sent again.
   */
  it('says unknown, and never runs it again, when the answer is lost', async () => {
    await fleet.injectFault('parts-1', 'cut', 1);
    await fleet.injectFault('parts-2', 'cut', 1);
    const first = await hold('h2', 0);
    const again = await hold('h2', 1);
    expect([first.outcome, again.outcome, runs('h2')]).to.deep.equal(['unknown', 'unknown', 1]);
    await fleet.injectFault('parts-1', 'clear');
    await fleet.injectFault('parts-2', 'clear');
  });

  /** A service that says that it ran nothing is believed; the hold goes to the other one. */
  it('goes to another service after a proof that it was not run', async () => {
    await fleet.injectFault('parts-1', 'refuse', 1);
    const reply = await hold('h3', 0);
    expect([reply.status, runs('h3')]).to.deep.equal([201, 1]);
    await fleet.injectFault('parts-1', 'clear');
  });

  it('refuses the same key for another call', async () => {
    const headers = { 'idempotency-key': 'h1' };
    const other = await fleet.call('POST', '/services/parts/holds', { id: 'x' }, { headers });
    expect([other.status, other.outcome, runs('x')]).to.deep.equal([422, 'not-run', 0]);
  });

  /*
   * A VM is stopped as planned and the clerk loses the answer to his hold: the daemon waited for prompts
   * but not for calls to services.
   */
  it('lets a call to a service end before a daemon under a planned stop goes', async () => {
    await fleet.injectFault('parts-1', 'late', 1, 1_500);
    await fleet.injectFault('parts-2', 'late', 1, 1_500);
    const running = hold('h4', 2);
    await daemonFleet.until('running', () => runs('h4') === 1);
    await fleet.daemons[2]?.stop();
    const reply = await running;
    expect([reply.status, reply.outcome]).to.deep.equal([201, 'completed']);
    await fleet.startDaemon(2);
    await daemonFleet.until('ready', () => fleet.daemons[2]?.unready() === undefined);
  });

  /*
   * A daemon with a replica dies, comes back with an empty disk under the same name, and then another
   * dies. Had the empty one voted as its old self, accepted settings and claims would be gone.
   */
  it('keeps claims and settings through a lost disk followed by a death', async () => {
    await fleet.daemons[2]?.halt();
    fleet.deleteDataFolder(2);
    await fleet.startDaemon(2);
    const host = fleet.daemons[2]?.control.host;
    await daemonFleet.until('repaired', () => {
      const members = host?.replica.members ?? [];
      const voter = members.find(({ id }) => id === host?.replica.id)?.role === 'voter';
      return voter && members.length === 3;
    });
    const shard = (index: number) =>
      [...(fleet.daemons[index]?.control.hosts.values() ?? [])].every(
        ({ replica }) => replica.members.length === 3 && replica.commit > 0,
      );
    await daemonFleet.until('all logs repaired', () => shard(2));
    await fleet.daemons[0]?.halt();
    await daemonFleet.until('accepted', async () => {
      const change = { id: 'after', basedOn: 0, text: '; kept' };
      const { status } = await fleet.operator('PUT', 'settings/pits', change, daemonFleet.TOKEN, 1);
      return status === 200;
    });
    const again = await hold('h1', 1);
    const { content } = await fleet.operator(
      'GET',
      'settings/fitters',
      undefined,
      daemonFleet.TOKEN,
      2,
    );
    expect([again.headers['x-celerydrift-replayed'], runs('h1'), content.revision]).to.deep.equal([
      'true',
      1,
      1,
    ]);
    await fleet.startDaemon(0);
  });
});
