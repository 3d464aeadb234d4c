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

/** Connections below which their limit isn't looked up: reading it takes time that a start doesn't have. */
const FEW = 64;

/** Most connections that wait for the program, and the share of the descriptors that they may take. */
const MAX_HELD = 1_024;
const HELD_SHARE = 1 / 4;

const OPEN_FILES = /^Max open files\s+(\d+)/m;

function readHeldLimit() {
  try {
    const [, soft] = OPEN_FILES.exec(fs.readFileSync('/proc/self/limits', 'utf8')) ?? [];
    return soft === undefined ? MAX_HELD : Math.min(MAX_HELD, Math.floor(soft * HELD_SHARE));
  } catch {
    return MAX_HELD;
  }
}

/** Whether so many connections are too many; then the oldest is closed, as its caller has left first. */
function fullness() {
  let limit;
  return (count) => {
    if (count <= FEW) return false;
    limit ??= Math.max(FEW, readHeldLimit());
    return count > limit;
  };
}

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
  const isFull = fullness();
  const server = net.createServer({ pauseOnConnect: true, noDelay: true }, (socket) => {
    // An unhandled error of a caller that disconnects would end the process.
    socket.on('error', () => undefined);
    held.push(socket);
    if (isFull(held.length)) held.shift().destroy();
  });
  server.once('error', done);
  server.listen({ ...address, exclusive: true }, () => {
    server.removeListener('error', done);
    // A connection that can't be accepted would end the process, before there is a program to report it.
    server.on('error', () => undefined);
    globalThis[KEY] = { address, server, held };
    done();
  });
}

module.exports = { KEY, listenEarly, readHeldLimit };
