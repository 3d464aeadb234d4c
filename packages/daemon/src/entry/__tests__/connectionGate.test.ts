/** A VM that gets several times the connections that it can serve. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as clock from '../../clock';
import * as listening from '../../http/listening';
import * as turns from '../../http/turns';
import * as observer from '../../observability/observer';
import * as connectionGate from '../connectionGate';

const { expect } = chai;

/** Processor time of a request; the server bears fifty a second. */
const WORK_MS = 20;

/** Processor time of a long one: four of them take longer than a queue may last. */
const LONG_WORK_MS = 50;

/** Processor time of a turn; a queue of forty connections lasts longer than it may beside such turns. */
const TURN_MS = 5;

/** Four times as many connections. */
const LOAD_INTERVAL_MS = 5;
const LOAD_FOR_MS = 2_500;

/** Callers leave if their request hasn't been answered by then. */
const PATIENCE_MS = 1_000;

/** Of the requests that are read, at least this share must be answered in time. */
const SERVED_SHARE = 0.75;

type Outcome = 'answered' | 'refused' | 'late';

describe('a connection gate', () => {
  const observe = new observer.Observer('test', 'fatal', undefined);
  let server: http.Server;
  let gate: connectionGate.ConnectionGate;
  let [active, read] = [0, 0];
  let workMs = WORK_MS;

  const port = (): number => (server.address() as net.AddressInfo).port;

  beforeEach(async () => {
    [active, read] = [0, 0];
    workMs = WORK_MS;
    server = http.createServer((request, response) => {
      active += 1;
      read += 1;
      gate.used(request.socket);
      const end = clock.steady() + workMs;
      while (clock.steady() < end);
      response.once('close', () => {
        active -= 1;
      });
      response.end('x');
    });
    await listening.listen(server, { host: '127.0.0.1', port: 0 });
    const address = { host: '127.0.0.1', port: port() };
    gate = new connectionGate.ConnectionGate(server, {
      observer: observe,
      now: clock.steady,
      active: () => active,
      listen: () => listening.listenAgain(server, address),
    });
  });

  afterEach(() => {
    gate.stop();
    server.closeAllConnections();
    server.close();
  });

  /** Sends a request to a port, over a new connection unless an agent has one. */
  function send(to: number, agent?: http.Agent): Promise<Outcome> {
    return new Promise((resolve) => {
      const options = { host: '127.0.0.1', port: to, agent: agent ?? false };
      const request = http.get({ ...options, timeout: PATIENCE_MS }, (response) => {
        response.resume().once('end', () => resolve('answered'));
      });
      const leave = (): void => {
        resolve('late');
        request.destroy();
      };
      setTimeout(leave, PATIENCE_MS).unref();
      request.once('error', () => resolve('refused'));
    });
  }

  /** Guards against a VM that reads more requests than it can serve, so that nearly all of their callers leave. */
  it('refuses connections at once that the VM could serve too late only, and serves open ones', async () => {
    const to = port();
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const outcomes: Promise<Outcome>[] = [];
    const open = [send(to, agent)];
    await open[0];
    const end = clock.steady() + LOAD_FOR_MS;
    for (let sentAt = clock.steady(); sentAt < end; sentAt += LOAD_INTERVAL_MS) {
      if (clock.steady() < sentAt) await clock.sleep(1);
      outcomes.push(send(to));
      if (outcomes.length % 100 === 0) open.push(send(to, agent));
    }
    const counts = { answered: 0, refused: 0, late: 0 };
    (await Promise.all(outcomes)).forEach((outcome) => {
      counts[outcome] += 1;
    });
    expect(new Set(await Promise.all(open))).to.deep.equal(new Set(['answered']));
    expect(counts.answered / (read - open.length)).to.be.at.least(SERVED_SHARE);
    expect(counts.refused).to.be.above(counts.late);
    expect(observe.counters()['event.vmOverloaded']).to.be.above(0);
    agent.destroy();
    await clock.sleep(PATIENCE_MS);
    expect(await send(to)).to.equal('answered');
  });

  /** Guards against a VM that refuses nearly all connections for seconds, as a few arrived within long turns of its loop. */
  it('refuses nothing of a few callers at the same time', async () => {
    workMs = LONG_WORK_MS;
    for (let i = 0; i < 3; i++) {
      const outcomes = await Promise.all(Array.from({ length: 4 }, () => send(port())));
      expect(new Set(outcomes)).to.deep.equal(new Set(['answered']));
      await clock.sleep(500);
    }
    expect(gate.gauges().requestLimit).to.equal(0);
  });

  /** Guards against a VM that refuses callers for as long as targets send without a pause. */
  it('refuses nothing because of work that is done in turns with other work', async () => {
    workMs = 1;
    const endless = { isOver: false };
    const proceed = (): void => {
      const end = clock.steady() + TURN_MS;
      while (clock.steady() < end);
      if (!endless.isOver) turns.wait(endless, proceed);
    };
    proceed();
    const outcomes = await Promise.all(Array.from({ length: 40 }, () => send(port())));
    endless.isOver = true;
    expect(new Set(outcomes)).to.deep.equal(new Set(['answered']));
    expect(gate.gauges().requestLimit).to.equal(0);
  });

  it('refuses nothing that the VM can serve', async () => {
    const outcomes: Outcome[] = [];
    for (let i = 0; i < 20; i++) outcomes.push(await send(port()));
    expect(new Set(outcomes)).to.deep.equal(new Set(['answered']));
    expect(gate.gauges().requestLimit).to.equal(0);
  });
});
