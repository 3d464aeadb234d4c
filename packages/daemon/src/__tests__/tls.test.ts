/** TLS on all listeners; daemons authenticate to each other with certificates of one authority. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as tls from 'node:tls';
import * as chai from 'chai';
import * as selfsigned from 'selfsigned';
import * as daemonFleet from './__fixtures__/daemonFleet';

const { expect } = chai;

function createCertificate(folder: string, name: string): daemonFleet.TlsFiles {
  const generated = selfsigned.generate([{ name: 'commonName', value: name }], {
    keySize: 2_048,
    extensions: [
      { name: 'basicConstraints', cA: true },
      { name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] },
    ],
  });
  const files = {
    certificate: path.join(folder, `${name}.pem`),
    key: path.join(folder, `${name}.key`),
    authority: path.join(folder, `${name}.pem`),
  };
  fs.writeFileSync(files.certificate, generated.cert);
  fs.writeFileSync(files.key, generated.private);
  return files;
}

/** Whether a peer listener accepts a connection with this client certificate. */
function isAccepted(
  port: number,
  files: daemonFleet.TlsFiles,
  authority: string,
): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = tls.connect({
      host: '127.0.0.1',
      port,
      cert: fs.readFileSync(files.certificate),
      key: fs.readFileSync(files.key),
      ca: fs.readFileSync(authority),
    });
    socket.on('data', () => resolve(true));
    socket.on('error', () => resolve(false));
    socket.on('close', () => resolve(false));
  });
}

describe('TLS', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'celerydrift-test-'));
  const own = createCertificate(folder, 'fleet');
  const foreign = createCertificate(folder, 'foreign');
  const fleet = new daemonFleet.DaemonFleet(own);

  after(async () => {
    await fleet.stop();
    fs.rmSync(folder, { recursive: true });
  });

  it('founds a replica set, accepts settings, serves callers and rejects foreign certificates', async () => {
    await fleet.start(2);
    const ready = await fleet.call('GET', '/readyz');
    const models = await fleet.call('GET', '/v1/models');
    const port = fleet.daemons[0]?.ports.peers;
    const accepted = [
      await isAccepted(port, own, own.authority),
      await isAccepted(port, foreign, own.authority),
    ];
    expect([ready.status, models.status, accepted]).to.deep.equal([200, 200, [true, false]]);
  });
});
