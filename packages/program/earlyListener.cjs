/**
 * Accepts callers' connections before the program is loaded; loading takes most of a restarted VM's start. After a
 * kill of all processes, callers that find no listener are refused immediately, and so is their only retry. Accepted
 * connections are paused until the program takes them over with the listener. If the address cannot be read or bound,
 * this module does not listen, and the program reports the error.
 */
'use strict';

const fs = require('node:fs');
const net = require('node:net');

/** Address of the callers' listener in the settings of an entry. */
const CALLERS_SETTING = /^\s*callers\s*=\s*([\d.]+):(\d+)\s*$/m;

/** Key on `globalThis` under which the program finds the early listener. */
const KEY = Symbol.for('celerydrift.earlyListener');

function readCallersAddress(file) {
  try {
    const [, host, port] = CALLERS_SETTING.exec(fs.readFileSync(file, 'utf8')) ?? [];
    return host === undefined ? undefined : { host, port: Number(port) };
  } catch {
    return undefined;
  }
}

/** Listens at the callers' address of the settings file; calls `done` once it listens or if it cannot. */
function listenEarly(file, done) {
  const address = file === undefined ? undefined : readCallersAddress(file);
  if (address === undefined) {
    done();
    return;
  }
  const held = [];
  const server = net.createServer({ pauseOnConnect: true, noDelay: true }, (socket) => {
    // An unhandled error of a caller that disconnects would end the process.
    socket.on('error', () => undefined);
    held.push(socket);
  });
  server.once('error', done);
  server.listen({ ...address, exclusive: true }, () => {
    server.removeListener('error', done);
    globalThis[KEY] = { address, server, held };
    done();
  });
}

module.exports = { KEY, listenEarly };
