/**
 * Listens for callers before the program is loaded. After a kill of all processes each caller that meets no listener is refused at
 * once, and so is its one repeat; loading takes most of a restarted VM's start. Connections that come meanwhile are held, and the
 * program takes them over with the listener. Where the address can't be read or bound, the program says what is wrong.
 */
'use strict';

const fs = require('node:fs');
const net = require('node:net');

/** Callers' listener in the settings of an entry. */
const CALLERS_SETTING = /^\s*callers\s*=\s*([\d.]+):(\d+)\s*$/m;

/** Under this key the program finds what was begun. */
const KEY = Symbol.for('celerydrift.earlyListener');

function readCallersAddress(file) {
  try {
    const [, host, port] = CALLERS_SETTING.exec(fs.readFileSync(file, 'utf8')) ?? [];
    return host === undefined ? undefined : { host, port: Number(port) };
  } catch {
    return undefined;
  }
}

/** Begins to listen where the settings file names callers; calls `done` as soon as that is done, or not possible. */
function listenEarly(file, done) {
  const address = file === undefined ? undefined : readCallersAddress(file);
  if (address === undefined) {
    done();
    return;
  }
  const held = [];
  const server = net.createServer({ pauseOnConnect: true, noDelay: true }, (socket) => {
    // A caller that leaves meanwhile must not end the process.
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
