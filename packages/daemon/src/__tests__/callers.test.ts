/** The interfaces of one daemon for callers and operators: answers, refusals and malformed requests. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import OpenAI from 'openai';
import * as daemonFleet from './__fixtures__/daemonFleet';

const { expect } = chai;

describe('callers', () => {
  const fleet = new daemonFleet.DaemonFleet();

  before(async () => {
    await fleet.start(1);
    await fleet.startEngine('engine-1');
    await fleet.startEngine('engine-2');
    await fleet.startService('parts-1');
  });

  after(() => fleet.stop());

  it('serves the unmodified openai client: a prompt of 200,000 tokens, streamed and in one answer', async () => {
    const client = new OpenAI({
      apiKey: daemonFleet.KEY,
      baseURL: `${fleet.url()}/v1`,
      maxRetries: 0,
    });
    const models = await client.models.list();
    const content = 'bore log '.repeat(89_000);
    const stream = await client.chat.completions.create({
      model: 'quotes',
      messages: [{ role: 'user', content }],
      max_tokens: 5,
      stream: true,
      stream_options: { include_usage: true },
    });
    const words: string[] = [];
    let promptTokens = 0;
    for await (const chunk of stream) {
      words.push(chunk.choices[0]?.delta.content ?? '');
      promptTokens = chunk.usage?.prompt_tokens ?? promptTokens;
    }
    const short = await client.chat.completions.create({
      model: 'quotes',
      messages: [{ role: 'user', content: [{ type: 'text', text: 'hello' }] }],
      max_tokens: 3,
    });
    expect({
      models: models.data.map(({ id }) => id),
      words: words.join('').trim().split(' ').length,
      promptTokens,
      short: short.choices[0]?.message.content,
      usage: short.usage,
    }).toMatchSnapshot();
  });

  it('refuses requests that it cannot serve as not run, with the reason', async () => {
    const prompt = { model: 'quotes', prompt: 'hello', max_tokens: 2 };
    const path = '/v1/completions';
    const limited = { key: 'limited-key' };
    await fleet.call('POST', path, { ...prompt, max_tokens: 300 }, limited);
    const replies = {
      wrongKey: await fleet.call('POST', path, prompt, { key: 'nobody' }),
      unknownModel: await fleet.call('POST', path, { ...prompt, model: 'x' }),
      unknownPath: await fleet.call('GET', '/v2'),
      unknownService: await fleet.call('GET', '/services/none/x'),
      noPrompt: await fleet.call('POST', path, { model: 'quotes' }),
      badTokens: await fleet.call('POST', path, { ...prompt, max_tokens: -1 }),
      badDeadline: await fleet.call('POST', path, prompt, { headers: { 'x-deadline-ms': 'soon' } }),
      badPriority: await fleet.call('POST', path, prompt, { headers: { 'x-priority': 'top' } }),
      tooLarge: await fleet.call('POST', path, { ...prompt, prompt: 'x'.repeat(8_000_001) }),
      tooLong: await fleet.call('POST', path, { ...prompt, prompt: 'x'.repeat(7_000_000) }),
      overLimit: await fleet.call('POST', path, { ...prompt, max_tokens: 300 }, limited),
    };
    const lines = Object.entries(replies).map(([name, { status, outcome, headers, text }]) => {
      const { message } = (JSON.parse(text) as { error: { message: string } }).error;
      return `${name}: ${status} ${outcome} ${'retry-after' in headers ? 'retry-after ' : ''}${message}`;
    });
    expect(lines).toMatchSnapshot();
  });

  it('forwards method, path, query and body of a call to a service, with the organisation of its caller', async () => {
    const reply = await fleet.call('GET', '/services/parts/lookups/7?x=1&y=%20', undefined, {
      headers: { 'x-organisation': 'forged' },
    });
    expect([reply.status, reply.outcome, JSON.parse(reply.text)]).toMatchSnapshot();
  });

  it('lets a team change only its own subtree, and reports what is wrong with a change', async () => {
    const change = { id: 'c1', basedOn: 1, text: daemonFleet.TEAM_SETTINGS };
    const answers = [
      await fleet.operator('PUT', 'settings/fitters', change, 'nobody'),
      await fleet.operator('PUT', 'settings/pits', change, 'amina-token'),
      await fleet.operator('PUT', 'settings/fitters', { ...change, basedOn: 7 }, 'amina-token'),
      await fleet.operator('PUT', 'settings/fitters', { ...change, id: 'c2', text: '[x.y]' }),
      await fleet.operator('PUT', 'settings/fitters', { id: 'c3' }),
      await fleet.operator('POST', 'stops', { id: 's' }),
      await fleet.operator('POST', 'stops', {}, 'amina-token'),
    ];
    expect(
      answers.map(({ status, content }) => [status, content.kind ?? content.error]),
    ).toMatchSnapshot();
  });

  it('keeps serving after a thousand malformed requests', async () => {
    const bodies = fastCheck.sample(
      fastCheck.oneof(
        fastCheck.string(),
        fastCheck.json(),
        fastCheck.constantFrom('{"model":1}', '[]', 'null', '{"model":"quotes","messages":[null]}'),
      ),
      { seed: 4, numRuns: 600 },
    );
    const statuses = new Set<number>();
    for (const body of bodies) {
      const answer = await fetch(`${fleet.url()}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${daemonFleet.KEY}` },
        body,
      });
      statuses.add(answer.status);
      await answer.text();
    }
    const raw = fastCheck.sample(fastCheck.uint8Array({ maxLength: 80 }), {
      seed: 5,
      numRuns: 400,
    });
    const { port } = new URL(fleet.url());
    for (let i = 0; i < raw.length; i += 40) {
      await Promise.all(
        raw.slice(i, i + 40).map(
          (bytes) =>
            new Promise<void>((resolve) => {
              const socket = net.connect(Number(port), '127.0.0.1', () => {
                socket.write('POST /v1/completions HTTP/1.1\r\n');
                socket.end(Buffer.from(bytes));
              });
              socket.resume();
              socket.on('error', () => resolve());
              socket.on('close', () => resolve());
            }),
        ),
      );
    }
    const good = await fleet.complete('hello', 2);
    expect([[...statuses], good.status]).to.deep.equal([[400], 200]);
  });
});
