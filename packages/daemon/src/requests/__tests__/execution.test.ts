/** Model requests whose engines are silent, or send what isn't part of an answer; with engines that are functions. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import type * as adapter from '../../targets/adapter';
import type * as targetErrors from '../../targets/errors';
import * as execution from '../execution';

type Target = domain.target.target.Target;

type State = Result<adapter.RequestState, targetErrors.TargetError>;

const { expect } = chai;

const SILENCE_MS = 10;

const ENGINES = ['e1', 'e2'].map((name) => ({ name }) as Target);

const NO_ANSWER: targetErrors.TargetError = {
  progress: 'sent',
  fault: 'connectionLost',
  detail: 'timeout',
  retryAfterMs: 0,
};

/** Sends the frames after some time each. */
function streamOf(
  request: string,
  texts: readonly string[],
  delaysMs: readonly number[],
): adapter.EngineStream {
  let position = 0;
  const arrived: adapter.EngineFrame[] = [];
  let onArrival: ((frame: adapter.EngineFrame) => void) | undefined;
  const deliver = (frame: adapter.EngineFrame): void => {
    if (onArrival === undefined) arrived.push(frame);
    else onArrival(frame);
    onArrival = undefined;
  };
  const send = async (): Promise<void> => {
    for (const [i, text] of texts.entries()) {
      if (delaysMs[i] !== undefined) await clock.sleep(delaysMs[i]);
      const last = i === texts.length - 1;
      deliver({ request, position, text, tokens: 1, last });
      position += 1;
    }
  };
  void send();
  return {
    next: async () => {
      return (
        arrived.shift() ??
        (await new Promise((resolve) => {
          onArrival = resolve;
        }))
      );
    },
    close: () => undefined,
  };
}

describe('an execution', () => {
  let used: string[];

  /** Runs a request of two tokens at engines that open streams and answer probes as given. */
  async function run(
    engines: Pick<adapter.EngineAdapter, 'generate' | 'stateOf'>,
    budget: domain.request.retry.Budget = new domain.request.retry.Budget(),
  ): Promise<Result<execution.Completion, { message: string }>> {
    used = [];
    const request = { id: 'r1', model: {}, tenant: { organisation: {} }, answerTokens: 2 };
    const dependencies = {
      router: {
        succeeded: () => {},
        failed: () => {},
        alternatives: (target: Target) => ENGINES.filter((each) => each !== target),
      },
      allocationClient: {
        acquire: async ({ excluded }: domain.routing.dispatcher.Request) => {
          const target = ENGINES.find(({ name }) => !excluded.has(name)) ?? ENGINES[0];
          used.push(target.name);
          return { target };
        },
        firstToken: () => {},
        finished: () => {},
        withdraw: () => {},
      },
      adapter: { ...engines, resume: async () => Err(NO_ANSWER) },
      gatherer: { gather: async () => Ok({ parts: [] }), release: () => {} },
      leaseLoop: { addLease: () => {}, release: () => {}, leases: { confirmRelease: () => {} } },
      observer: new observer.Observer('test', 'fatal', undefined),
      budget,
      quarantine: { status: () => 'none', reportEngineLoss: () => {}, clearSuspicion: () => {} },
      random: domain.shared.random.seeded(1),
      owner: () => undefined,
      silenceMs: SILENCE_MS,
      learn: () => {},
      now: clock.steady,
    } as unknown as execution.Dependencies;
    const sink = { write: () => undefined, gone: new AbortController().signal };
    const admitted = { ...request, deadline: clock.steady() + 2_000 };
    const made = new execution.Execution(
      admitted as unknown as execution.ModelRequest,
      sink,
      dependencies,
    );
    return made.run();
  }

  const noRetries = (): domain.request.retry.Budget =>
    new domain.request.retry.Budget({ ...domain.request.retry.DEFAULT_OPTIONS, maxBalance: 0 });

  // Guards against streams that are given up, and end without retries left, as all engines are silent for a moment.
  it('stays with a silent engine while no other one responds', async () => {
    const result = await run(
      {
        generate: async (_target, { request }) => {
          return Ok(streamOf(request, ['a', 'b'], [0, 20 * SILENCE_MS]));
        },
        stateOf: async () => Err(NO_ANSWER),
      },
      noRetries(),
    );
    expect(result.map(({ text }) => text)).to.deep.equal(Ok('ab'));
    expect(used).to.deep.equal(['e1']);
  });

  it('stays with an engine that is silent before its response', async () => {
    const result = await run(
      {
        generate: async (_target, { request }) => {
          await clock.sleep(20 * SILENCE_MS);
          return Ok(streamOf(request, ['a', 'b'], []));
        },
        stateOf: async () => Err(NO_ANSWER),
      },
      noRetries(),
    );
    expect(result.map(({ text }) => text)).to.deep.equal(Ok('ab'));
  });

  // Guards against a sound engine that is given up as it takes no further connection while it is slow.
  it('stays with an engine that decodes but lets nobody resume the stream', async () => {
    const result = await run(
      {
        generate: async (_target, { request }) => {
          return Ok(streamOf(request, ['a', 'b'], [0, 20 * SILENCE_MS]));
        },
        stateOf: async () => Ok('decoding'),
      },
      noRetries(),
    );
    expect(result.map(({ text }) => text)).to.deep.equal(Ok('ab'));
  });

  [
    { title: 'stays with it while no other responds', other: Err(NO_ANSWER), expected: ['e1'] },
    { title: 'leaves it when another responds', other: Ok('unknown'), expected: ['e1', 'e2'] },
  ].forEach(({ title, other, expected }) => {
    // Guards against an attempt that is given up with nothing better in hand, and one that is never given up.
    it(`${title}, if nobody can resume the stream`, async () => {
      const result = await run({
        generate: async ({ name }, { request }) => {
          return Ok(streamOf(request, ['a', 'b'], name === 'e1' ? [0, 20 * SILENCE_MS] : []));
        },
        stateOf: async ({ name }) => (name === 'e1' ? Ok('decoding') : (other as State)),
      });
      expect(result.map(({ text }) => text)).to.deep.equal(Ok('ab'));
      expect(used).to.deep.equal(expected);
    });
  });

  it('leaves a silent engine when another one responds', async () => {
    const result = await run({
      generate: async (target, { request }) => {
        return Ok(streamOf(request, ['a', 'b'], target.name === 'e1' ? [0, 3_000] : []));
      },
      stateOf: async ({ name }) => (name === 'e1' ? Err(NO_ANSWER) : Ok('unknown')),
    });
    expect(used).to.deep.equal(['e1', 'e2']);
    expect(result.map(({ text }) => text)).to.deep.equal(Ok('ab'));
  });

  // Guards against a sound engine that is given up, as the frame that arrives during a probe of it is dropped.
  it('takes a frame that arrives while its engine is probed', async () => {
    const result = await run({
      generate: async (_target, { request }) => {
        return Ok(streamOf(request, ['a', 'b'], [2 * SILENCE_MS, SILENCE_MS / 2]));
      },
      stateOf: async () => {
        await clock.sleep(10 * SILENCE_MS);
        return Ok('prefilling');
      },
    });
    expect(result.map(({ text }) => text)).to.deep.equal(Ok('ab'));
    expect(used).to.deep.equal(['e1']);
  });

  // Guards against an engine whose answer never ends and fills the memory.
  it('leaves an engine that sends far more tokens than were asked for', async () => {
    const result = await run(
      {
        generate: async (_target, { request }) => {
          return Ok(streamOf(request, Array<string>(3_000).fill('x'), []));
        },
        stateOf: async () => Ok('decoding'),
      },
      noRetries(),
    );
    expect(result.err && result.val.message).to.include('crossed at e1');
  });
});
