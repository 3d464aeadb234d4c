/** Which connections take no further requests. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as openResponses from '../openResponses';

describe('the responses of a connection', () => {
  // Guards against a request that arrives between the last response of its connection and the end of that, and is run.
  it('end it for good with the one that announces its end', async () => {
    const responses = new openResponses.OpenResponses();
    const isClosing: boolean[] = [];
    const server = http.createServer((request, response) => {
      responses.began(request, response);
      response.once('close', () => isClosing.push(responses.isClosing(request.socket)));
      if (request.url === '/last') response.setHeader('Connection', 'close');
      response.end();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    await fetch(`http://127.0.0.1:${port}/first`);
    await fetch(`http://127.0.0.1:${port}/last`);
    server.close();
    server.closeAllConnections();
    chai.expect(isClosing).to.deep.equal([false, true]);
  });
});
