/* eslint-disable */
/**
 * A stand-in server of a plain service, written on raw sockets so that it controls each byte. A sound one serves one
 * request at a time on a channel, runs `slots` requests, queues a few more, and refuses the rest as not run.
 */
import * as net from 'node:net';
import * as timers from 'node:timers';
import { call } from './deployment.mjs';

const HEARTBEAT_MS = 1_200;

export class Server {
  /** `events` gets a line for each request that arrives, runs or is refused. */
  constructor(
    deployment,
    { id, service, zone, slots = 6, queue = 6, workMs = 40, events, healthPath = '/health' },
  ) {
    Object.assign(this, {
      deployment,
      id,
      service,
      zone,
      slots,
      queue,
      workMs,
      events,
      healthPath,
    });
    Object.assign(this, deployment.serverAddress());
    this.born = Date.now();
    this.sequence = 0;
    this.running = 0;
    this.waiting = [];
    this.state = 'ready';
    this.sockets = new Set();
  }

  async start() {
    this.listener = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
    await new Promise((resolve, reject) => {
      this.listener.once('error', reject);
      this.listener.listen(this.port, this.host, resolve);
    });
    await this.announce();
    this.timer = timers.setInterval(() => void this.announce(), HEARTBEAT_MS);
  }

  stop() {
    timers.clearInterval(this.timer);
    this.listener.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Sends a liveness report to one keeper after the other until it is acknowledged. */
  async announce() {
    this.sequence += 1;
    const body = JSON.stringify({
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      coldLeftMs: 0,
      sequence: this.sequence,
      born: this.born,
    });
    for (const keeper of this.deployment.controls) {
      const { status } = await call(keeper, 'PUT', `/celerydrift/instances/${this.id}`, body);
      if (status >= 200 && status < 300) return true;
    }
    return false;
  }

  accept(socket) {
    this.sockets.add(socket);
    const channel = { socket, buffer: Buffer.alloc(0), isBusy: false, late: undefined };
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk) => {
      channel.buffer = Buffer.concat([channel.buffer, chunk]);
      void this.next(channel);
    });
  }

  async next(channel) {
    if (channel.isBusy) return;
    const request = takeRequest(channel);
    if (request === undefined) return;
    channel.isBusy = true;
    if (channel.late !== undefined && request.isWork) {
      this.events({ event: 'extra', server: this.id, of: channel.lateId, before: request.id });
      channel.socket.write(channel.late);
      channel.late = undefined;
    }
    const answer = await this.answer(request);
    if (!channel.socket.destroyed) channel.socket.write(answer.bytes);
    if (request.isWork && this.repeatsLate?.(request, answer) === true) {
      channel.late = answer.bytes;
      channel.lateId = request.id;
    }
    channel.isBusy = false;
    void this.next(channel);
  }

  async answer(request) {
    if (request.path === '/celerydrift/report') {
      return reply(
        200,
        {},
        JSON.stringify({
          stage: 'both',
          models: [],
          busy: false,
          sequence: this.sequence,
          waiting: this.waiting.length,
          running: this.running,
        }),
      );
    }
    if (request.path === this.healthPath)
      return reply(
        this.state === 'ready' ? 200 : 503,
        { 'X-Celerydrift-Instance-Id': this.id },
        '',
      );
    const echoed = { 'X-Celerydrift-Request-Id': request.id ?? '' };
    const { server } = { server: this.id };
    const expected = request.headers['x-celerydrift-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.events({ event: 'refused', server, request: request.id, status: 421 });
      return reply(421, { ...echoed, 'X-Celerydrift-Not-Run': '1' }, '');
    }
    if (!(await this.place(request))) {
      this.events({ event: 'refused', server, request: request.id, status: 503 });
      return reply(503, { ...echoed, 'X-Celerydrift-Not-Run': '1' }, '');
    }
    this.events({
      event: 'ran',
      server,
      request: request.id,
      tenant: request.headers['x-celerydrift-tenant'],
    });
    await new Promise((resolve) => timers.setTimeout(resolve, this.workMs));
    this.running -= 1;
    this.waiting.shift()?.();
    return reply(
      200,
      { ...echoed, 'X-Celerydrift-Server-Stamp': `${this.id}.${request.id}` },
      bodyOf(request.id),
    );
  }

  /** Waits for a slot; false if the server is full. */
  async place() {
    if (this.running >= this.slots) {
      if (this.waiting.length >= this.queue) return false;
      await new Promise((resolve) => this.waiting.push(resolve));
    }
    this.running += 1;
    return true;
  }
}

export function bodyOf(id) {
  return `answer to ${id} `.padEnd(800, '.');
}

function reply(status, headers, body) {
  const lines = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) }).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return {
    status,
    bytes: Buffer.from(
      `HTTP/1.1 ${status} ${status === 200 ? 'OK' : 'Refused'}\r\n${lines.join('')}\r\n${body}`,
    ),
  };
}

/** Takes a whole request with a length off the front of a channel's buffer. */
function takeRequest(channel) {
  const end = channel.buffer.indexOf('\r\n\r\n');
  if (end === -1) return undefined;
  const [first, ...lines] = channel.buffer.subarray(0, end).toString('latin1').split('\r\n');
  const headers = {};
  lines.forEach((line) => {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  });
  const length = Number(headers['content-length'] ?? 0);
  if (channel.buffer.length < end + 4 + length) return undefined;
  channel.buffer = channel.buffer.subarray(end + 4 + length);
  const [method, path] = first.split(' ');
  const id = headers['x-celerydrift-request-id'];
  return { method, path, headers, id, isWork: id !== undefined };
}
