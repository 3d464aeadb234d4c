/** Orders as an engine receives them. */
import * as chai from 'chai';
import * as clock from '../../clock';
import * as httpAdapter from '../httpAdapter';
import type * as httpClient from '../httpClient';

const { expect } = chai;

describe('orders to engines', () => {
  // Guards against models that are never loaded: engines refused each order, as its end was on the daemon's steady clock.
  it('end by the time of day, which engines know', async () => {
    const bodies: string[] = [];
    const client = {
      json: async (_address: string, { body }: httpClient.Call) => {
        bodies.push(String(body));
        return { status: 200, content: {} };
      },
    };
    const adapter = new httpAdapter.HttpAdapter(client as unknown as httpClient.HttpClient);
    const model = { base: 'b', adapter: '', version: '1' };
    const target = { name: 't', address: 't:1' } as Parameters<typeof adapter.order>[0];
    const fence = { term: 3, sequence: 1 };
    const expiresAt = clock.steady() + 60_000;
    await adapter.order(target, { kind: 'load', target: 't', model, fence, expiresAt });
    const sent = JSON.parse(bodies[0]) as { expiresAt: number };
    expect(sent.expiresAt - Date.now()).to.be.within(1, 60_001);
  });
});
