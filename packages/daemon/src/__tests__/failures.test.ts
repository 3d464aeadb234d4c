/** Failures of engines, services, connections and disks, with daemons and stand-ins in one process. */
import * as crypto from 'node:crypto';
import * as chai from 'chai';
import * as undici from 'undici';
import type * as logHost from '../replicas/logHost';
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

  async function leasedOnEngines(): Promise<number> {
    return [...fleet.engines.values()].reduce((sum, { leases }) => sum + leases.list().length, 0);
  }

  /** Waits until no resources are leased, neither on the engines nor in the daemon's records. */
  async function untilNothingLeased(): Promise<void> {
    await until('engines without leases', async () => (await leasedOnEngines()) === 0);
    const [daemon] = fleet.daemons;
    await until('a daemon without leases', () => daemon?.holdings.leases.size === 0);
  }

  const { until } = daemonFleet;

  async function injectFaultEverywhere(kind: string, count: number, delayMs = 0): Promise<void> {
    for (const name of fleet.engines.keys()) await fleet.injectFault(name, kind, count, delayMs);
  }

  async function clearFaults(): Promise<void> {
    for (const name of fleet.engines.keys()) await fleet.injectFault(name, 'clear');
  }

  /*
   * Guards against a caller that receives another caller's response: an engine sends frames of another request on a
   * connection. The frames must be dropped and the request must be completed by another engine.
   */
  it('drops frames of another request and retries on another engine', async () => {
    await fleet.injectFault('engine-1', 'cross', 1);
    await fleet.injectFault('engine-2', 'cross', 1);
    const replies = await Promise.all(
      ['a', 'b', 'c', 'd'].map((prompt) => fleet.complete(prompt, 20)),
    );
    expect(replies.map(textOf)).to.deep.equal(['a', 'b', 'c', 'd'].map((p) => expectedText(p, 20)));
    await clearFaults();
    await untilNothingLeased();
  });

  /*
   * Guards against a truncated response that looks complete: the connection to the engine ends early. The daemon
   * must resume the stream over a new connection, at the position that it reached.
   */
  it('resumes an interrupted stream at its position', async () => {
    await injectFaultEverywhere('cut', 2);
    const reply = await fleet.complete('cut me', 30);
    expect([reply.status, textOf(reply)]).to.deep.equal([200, expectedText('cut me', 30)]);
    await clearFaults();
    await untilNothingLeased();
  });

  /*
   * Guards against a response that never arrives: open connections stall while the engine keeps running. A probe
   * over a new connection shows that it is decoding, so the stream must be resumed over a new connection.
   */
  it('detects a stalled connection to a running engine and resumes over a new one', async () => {
    const engine = await fleet.startEngine('slow', { stepBaseMs: 20 });
    await fleet.engines.get('engine-1')?.drain();
    await fleet.engines.get('engine-2')?.drain();
    const running = fleet.complete('silent', 40);
    await until('a running request', () => engine.model.requestCount === 1);
    await fleet.injectFault('slow', 'silent');
    const reply = await running;
    expect([reply.status, textOf(reply)]).to.deep.equal([200, expectedText('silent', 40)]);
  });

  /*
   * Guards against a short request that takes until its deadline: it is sent over a pooled connection that stalled
   * while idle, and the daemon waits for response headers that cannot arrive.
   */
  it('does not wait for headers on a pooled connection that stalled', async () => {
    await fleet.complete('warms the pool', 2);
    await fleet.injectFault('slow', 'silent');
    const reply = await fleet.complete('over the silent one', 5);
    expect([reply.status, textOf(reply)]).to.deep.equal([
      200,
      expectedText('over the silent one', 5),
    ]);
    await untilNothingLeased();
  });

  /*
   * A planned stop of an engine must interrupt no request: running requests finish there or are moved, and the engine
   * gets no new ones.
   */
  it('moves a stream that outlasts the grace period of a planned stop, without loss', async () => {
    const running = fleet.complete('moved', 60);
    await until('a running request', () => fleet.engines.get('slow')?.model.requestCount === 1);
    await fleet.startEngine('spare');
    const stop = { id: 's1', subject: 'target', name: 'slow', graceSeconds: 0 };
    const announced = await fleet.operator('POST', 'stops', stop);
    const reply = await running;
    expect([announced.status, reply.status, textOf(reply)]).to.deep.equal([
      200,
      200,
      expectedText('moved', 60),
    ]);
    await until('the engine to be safe to stop', async () => {
      const { content } = await fleet.operator('GET', 'stops');
      return (content as unknown as { progress: string }[])[0]?.progress === 'safeToStop';
    });
    const before = fleet.engines.get('slow')?.startCounts.size;
    await fleet.complete('after the stop', 3);
    expect(fleet.engines.get('slow')?.startCounts.size).to.equal(before);
    await untilNothingLeased();
  });

  /*
   * Guards against an engine that keeps computing for a caller that has disconnected. The daemon must cancel the
   * request on the engine, and retry until the engine confirms.
   */
  it('cancels the request on the engine when the caller disconnects', async () => {
    const disconnect = new AbortController();
    const body = JSON.stringify({ model: 'quotes', prompt: 'gone', max_tokens: 20_000 });
    const running = undici
      .request(`${fleet.url()}/v1/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${daemonFleet.KEY}` },
        body,
        signal: disconnect.signal,
      })
      .catch(() => undefined);
    const engine = fleet.engines.get('spare');
    await until('a running request', () => engine?.model.requestCount === 1);
    disconnect.abort();
    await running;
    await untilNothingLeased();
    expect(engine?.model.requestCount).to.equal(0);
  });

  /*
   * Two engines crash one after the other while requests run, and one restarts as a new lifetime. Every request must
   * end with a complete response or an explicit error, and the new lifetime must be used again.
   */
  it('ends every request when two engines crash', async () => {
    await fleet.startEngine('second');
    const prompts = Array.from({ length: 12 }, (_v, i) => `dying ${i}`);
    const running = prompts.map((prompt) => fleet.complete(prompt, 200));
    await until(
      'a running request',
      () => (fleet.engines.get('spare')?.model.requestCount ?? 0) > 0,
    );
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
   * A prompt that exceeds the memory of one engine borrows memory of other engines, all of it or none. All borrowed
   * memory must be released afterwards.
   */
  it('serves a prompt that exceeds one engine with memory of several, and releases all of it', async () => {
    await fleet.startEngine('third');
    await fleet.startEngine('fourth');
    await until(
      'a removed engine',
      () => fleet.daemons[0]?.targets.get('second')?.status === 'gone',
    );
    const prompt = 'long '.repeat(480_000);
    const body = { model: 'quotes', prompt, max_tokens: 3 };
    const reply = await fleet.call('POST', '/v1/completions', body, {
      headers: { 'x-deadline-ms': '60000' },
    });
    expect([reply.status, textOf(reply)]).to.deep.equal([200, expectedText(prompt, 3)]);
    const reserved = [...fleet.engines.values()].map(({ model }) => model.reservedTokens);
    await until(
      'all memory to be released',
      () => reserved.length > 0 && fleet.daemons[0]?.holdings.leases.size === 0,
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

  function callOnce(id: string, index: number): Promise<daemonFleet.Reply> {
    const headers = { 'idempotency-key': id };
    return fleet.call('POST', '/services/parts/holds', { id }, { index, headers });
  }

  function runs(id: string): number {
    return [...fleet.services.values()].reduce(
      (sum, each) => sum + (each.runCounts.get(id) ?? 0),
      0,
    );
  }

  /*
   * Guards against a call that runs twice: its caller gets no response and resends it, and the load balancer routes
   * the copy to another daemon while the first is still running.
   */
  it('runs a call once, however often and to whichever daemon it is sent', async () => {
    await fleet.injectFault('parts-1', 'late', 1, 200);
    const replies = await Promise.all([0, 1, 2, 0, 1].map((index) => callOnce('h1', index)));
    const later = await callOnce('h1', 2);
    const texts = new Set([...replies, later].map(({ text }) => text));
    expect([texts.size, runs('h1'), later.headers['x-celerydrift-replayed']]).to.deep.equal([
      1,
      1,
      'true',
    ]);
    await fleet.injectFault('parts-1', 'clear');
  });

  /*
   * A service runs a call and crashes before it responds, so its outcome cannot be determined. The caller must get
   * "unknown", also for a copy, and the call must never be sent again.
   */
  it('reports an unknown outcome, and never runs the call again, when the response is lost', async () => {
    await fleet.injectFault('parts-1', 'cut', 1);
    await fleet.injectFault('parts-2', 'cut', 1);
    const first = await callOnce('h2', 0);
    const again = await callOnce('h2', 1);
    expect([first.outcome, again.outcome, runs('h2')]).to.deep.equal(['unknown', 'unknown', 1]);
    await fleet.injectFault('parts-1', 'clear');
    await fleet.injectFault('parts-2', 'clear');
  });

  /** A service's statement that it didn't run a call is proof; the call is sent to another one. */
  it('sends a call to another service after proof that it was not run', async () => {
    await fleet.injectFault('parts-1', 'refuse', 1);
    const reply = await callOnce('h3', 0);
    expect([reply.status, runs('h3')]).to.deep.equal([201, 1]);
    await fleet.injectFault('parts-1', 'clear');
  });

  it('refuses an idempotency key that was used for another call', async () => {
    const headers = { 'idempotency-key': 'h1' };
    const other = await fleet.call('POST', '/services/parts/holds', { id: 'x' }, { headers });
    expect([other.status, other.outcome, runs('x')]).to.deep.equal([422, 'not-run', 0]);
  });

  /*
   * Guards against a response that is lost in a planned stop of a VM, because the daemon waits for prompts but not
   * for calls to services.
   */
  it('finishes a call to a service before the daemon ends in a planned stop', async () => {
    await fleet.injectFault('parts-1', 'late', 1, 1_500);
    await fleet.injectFault('parts-2', 'late', 1, 1_500);
    const running = callOnce('h4', 2);
    await daemonFleet.until('a running call', () => runs('h4') === 1);
    await fleet.daemons[2]?.stop();
    const reply = await running;
    expect([reply.status, reply.outcome]).to.deep.equal([201, 'completed']);
    await fleet.startDaemon(2);
    await daemonFleet.until(
      'the daemon to be ready',
      () => fleet.daemons[2]?.unready() === undefined,
    );
  });

  /*
   * A daemon with a replica crashes and restarts under the same name with an empty disk, and then another crashes. If
   * the empty replica voted under its former identity, accepted settings and claims would be lost.
   */
  it('keeps claims and settings when a disk is lost and then another daemon crashes', async () => {
    await fleet.daemons[2]?.halt();
    fleet.deleteDataFolder(2);
    await fleet.startDaemon(2);
    const isRepaired = ({ replica }: logHost.LogHost): boolean => {
      const voters = replica.members.filter(({ role }) => role === 'voter');
      return voters.length === 3 && voters.some(({ id }) => id === replica.id);
    };
    const hosts = [...(fleet.daemons[2]?.control.hosts.values() ?? [])];
    expect(hosts.length).to.be.greaterThan(1);
    await daemonFleet.until('all logs to be repaired', () => hosts.every(isRepaired));
    await fleet.daemons[0]?.halt();
    await daemonFleet.until('settings to be accepted', async () => {
      const change = { id: 'after', basedOn: 0, text: '; kept' };
      const { status } = await fleet.operator('PUT', 'settings/pits', change, daemonFleet.TOKEN, 1);
      return status === 200;
    });
    const again = await callOnce('h1', 1);
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
