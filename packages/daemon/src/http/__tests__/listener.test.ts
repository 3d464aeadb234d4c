/** What the listener answers by itself. */
import * as chai from 'chai';
import * as listener from '../listener';

describe('listener', () => {
  // Guards against an unexpected error that is reported as not run although a target may have run the call.
  it('claims nothing of a call that ended with an unexpected error', async () => {
    const limits = { headerSeconds: 1, bodySeconds: 1, connections: 9, bodyBytes: 9 };
    const route = async (): Promise<void> => {
      throw new TypeError('unexpected');
    };
    const http = new listener.Listener(limits, undefined, route, () => undefined);
    const port = await http.listen({ host: '127.0.0.1', port: 0 });
    const response = await fetch(`http://127.0.0.1:${port}/`);
    const content = (await response.json()) as { error: { outcome: string } };
    http.abort();
    await http.close();
    chai.expect([response.status, content.error.outcome]).to.deep.equal([502, 'unknown']);
  });
});
