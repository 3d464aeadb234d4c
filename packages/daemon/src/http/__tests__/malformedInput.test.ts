/** Bytes of callers that are no request, beside a request in progress and without one. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as chai from 'chai';
import * as clock from '../../clock';
import * as listening from '../listening';
import * as malformedInput from '../malformedInput';
import * as openResponses from '../openResponses';

const CALL = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';

/** What a caller receives for these bytes from a server that answers a call after 300 ms, until its connection ends. */
async function answersTo(bytes: string, hasBegun = false): Promise<string> {
  const options = { headersTimeout: 50, connectionsCheckingInterval: 50 };
  const server = http.createServer(options, (request, response) => {
    responses.began(request, response);
    if (hasBegun) response.flushHeaders();
    void clock.sleep(300).then(() => response.end('own answer'));
  });
  const responses = new openResponses.OpenResponses();
  malformedInput.handle(server, responses, { count: () => undefined });
  await listening.listen(server, { host: '127.0.0.1', port: 0 });
  const { port } = server.address() as net.AddressInfo;
  const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
  let received = '';
  socket.on('data', (data) => {
    received += data.toString();
  });
  await new Promise((resolve) => {
    socket.on('close', resolve);
  });
  server.close();
  return received;
}

describe('malformed input of callers', () => {
  // Guards against a 408, which guarantees that nothing ran, where the answer to a running call is due.
  const behind = { 'the beginning of a head': 'P', 'no request at all': 'garbage\r\n\r\n' };
  Object.entries(behind).forEach(([title, bytes]) => {
    it(`leaves the answer to a call in progress as it is (${title})`, async () => {
      const received = await answersTo(CALL + bytes);
      chai
        .expect(received)
        .to.match(/^HTTP\/1\.1 200 OK/)
        .and.to.include('own answer');
      chai.expect(received.split('HTTP/1.1 ').length).to.equal(2);
    });
  });

  // Guards against a connection that stays open although neither side has anything to send.
  it('ends the connection after the answer to a call in progress if it is a body', async () => {
    const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
    const received = await answersTo(`${CALL}${head}garbage\r\n`, true);
    chai
      .expect(received)
      .to.match(/^HTTP\/1\.1 200 OK/)
      .and.to.include('own answer');
  });

  it('is answered if it asks for a tunnel', async () => {
    const received = await answersTo('CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n');
    chai.expect(received).to.match(/^HTTP\/1\.1 405 /);
  });

  it('is answered where no call is in progress', async () => {
    chai.expect(await answersTo('P')).to.match(/^HTTP\/1\.1 408 /);
    chai.expect(await answersTo('garbage\r\n\r\n')).to.match(/^HTTP\/1\.1 400 /);
    const head = `POST / HTTP/1.1\r\nA: ${'a'.repeat(20_000)}\r\n\r\n`;
    chai.expect(await answersTo(head)).to.match(/^HTTP\/1\.1 431 /);
  });
});
