/** Calls to a service whose targets are out of reach for a moment. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import * as serviceProxy from '../serviceProxy';

const { expect } = chai;

describe('a call to a service', () => {
  /** Calls a service of two targets, of which the first connections fail; returns the outcome and the messages. */
  async function call(failures: number, notRepeatable: string[]): Promise<[string, number]> {
    let messages = 0;
    const request = async (): Promise<object> => {
      messages += 1;
      if (messages <= failures) {
        throw Object.assign(new Error('connect'), { code: 'UND_ERR_CONNECT_TIMEOUT' });
      }
      return { statusCode: 200, headers: {}, body: undefined };
    };
    const proxy = new serviceProxy.ServiceProxy({
      client: { request, read: async () => Buffer.from('served') },
      router: { succeeded: () => {}, failed: () => {}, isCircuitOpen: () => false },
      budget: new domain.request.retry.Budget(),
      random: domain.shared.random.seeded(1),
      targets: () => [{ name: 't1' }, { name: 't2' }],
      now: clock.steady,
    } as unknown as serviceProxy.Options);
    const answer = await proxy.handle({
      tenant: { organisation: { name: 'north' } },
      service: { name: 's', notRepeatable, timeoutSeconds: 5 },
      deadline: clock.steady() + 5_000,
      method: 'GET',
      path: '/',
      key: '',
    } as unknown as serviceProxy.ServiceCall);
    return [answer.ok ? answer.val.body.toString() : answer.val.outcome, messages];
  }

  // Guards against a call that fails although its targets are within reach again before its deadline.
  it('returns to targets that were out of reach, if it may be repeated', async () => {
    expect(await call(3, [])).to.deep.equal(['served', 4]);
  });

  it('is sent once to each target if it may not be repeated', async () => {
    expect(await call(9, ['GET /'])).to.deep.equal(['notRun', 2]);
  });
});
