import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as keepersClient from '../keepersClient';

const { expect } = chai;

describe('KeepersClient', () => {
  /*
   * Guards against an order that is given up although another keeper would take it: one keeper is down and the next
   * has no leader.
   */
  it('sends a call to the next keeper until one gives a definite answer', async () => {
    const calls: string[] = [];
    const statuses = [503, 404];
    const server = http.createServer((request, response) => {
      calls.push(`${request.method} ${request.url}`);
      response.writeHead(statuses[calls.length - 1]).end();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const client = new keepersClient.KeepersClient(['127.0.0.1:1', `127.0.0.1:${port}`]);
    const answer = await client.call('POST', '/celerydrift/evacuations/a');
    expect(answer.val).to.deep.equal({ status: 404, content: undefined });
    expect(calls).to.have.length(2);
    server.close();
  });
});
