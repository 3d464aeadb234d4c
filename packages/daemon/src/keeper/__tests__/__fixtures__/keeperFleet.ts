/** Keepers with real sockets and disks, and a follower of their leader. */
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';
import type * as domain from '@celerydrift/domain';
import * as random from '@celerydrift/domain/dist/shared/random';
import { Err, Ok } from 'ts-results';
import * as ports from '../../../__tests__/__fixtures__/ports';
import * as clock from '../../../clock';
import * as roleSettings from '../../../configuration/roleSettings';
import type * as protocols from '../../../edges/protocols';
import * as fleetState from '../../../fleet/fleetState';
import * as leaderLink from '../../../fleet/leaderLink';
import * as messages from '../../../fleet/messages';
import * as observer from '../../../observability/observer';
import * as peerClient from '../../../rpc/peerClient';
import * as peerServer from '../../../rpc/peerServer';
import type * as journal from '../../../storage/journal';
import * as keeper from '../../keeper';

const { expect } = chai;

export const SECRET = 'a-secret-of-the-test';

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

const SERVICE = { name: 's', healthPath: '/', maxConnections: 10, engine: undefined };

/** Documents are `{version, valid}`; announcements are the internal records as JSON. */
const PROTOCOL: protocols.ControlProtocol = {
  parseCall: (method, url) => {
    if (url === '/catalogue') return { kind: method === 'PUT' ? 'submit' : 'read' };
    if (url === '/evacuations') return { kind: 'listEvacuations' };
    if (url.startsWith('/evacuations/')) {
      const dataCentre = url.slice('/evacuations/'.length);
      return { kind: method === 'POST' ? 'evacuate' : 'endEvacuation', dataCentre };
    }
    const id = url.slice(1);
    return { kind: method === 'PUT' ? 'announce' : 'depart', id };
  },
  parseAnnouncement: (id, body) => {
    const record = JSON.parse(body.toString()) as domain.registry.registry.Announcement;
    return Ok({ ...record, id });
  },
  parseDepartedLifetime: () => Ok(undefined),
  parseCatalogue: (document) => {
    const { version, valid } = JSON.parse(document.toString()) as {
      version: number;
      valid: boolean;
    };
    if (!valid) return Err({ kind: 'unreadable', detail: 'not valid' });
    return Ok({
      version,
      routes: [],
      services: [SERVICE],
      organisations: undefined,
      limits: LIMITS,
    });
  },
};

interface KeeperConfiguration {
  folder: string;
  settings: roleSettings.Settings;
}

/** The part of a keeper that writes to its disk. */
interface KeeperHost {
  dependencies: { journal: journal.Journal };
}

export async function until(what: string, check: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = clock.steady() + 15_000;
  while (!(await check())) {
    if (clock.steady() > deadline) throw new Error(`timed out waiting for ${what}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
}

function settingsOf(text: string): roleSettings.Settings {
  const read = roleSettings.read(text);
  if (read.err) throw new Error(JSON.stringify(read.val));
  return read.val;
}

export class Fleet {
  readonly running = new Map<number, keeper.Keeper>();

  readonly observer = new observer.Observer('test', 'fatal', undefined);

  private readonly closing: (() => Promise<void> | void)[] = [];

  private constructor(
    readonly configurations: KeeperConfiguration[],
    readonly followerPort: number,
  ) {}

  /** `moreSettings` are appended to the settings of each keeper. */
  static async make(size: number, moreSettings = ''): Promise<Fleet> {
    const free: number[] = [];
    while (free.length < 2 * size + 1) free.push(await ports.freePort());
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'keeper-'));
    const seeds = free.slice(0, 3).map((port) => `127.0.0.1:${port}`);
    const configurations = Array.from({ length: size }, (_, i) => {
      const dataFolder = path.join(folder, String(i));
      const settings = settingsOf(`
[daemon]
role = keeper
name = k${i}
data-centre = dc${i % 3}
[listen]
peers = 127.0.0.1:${free[i]}
control = 127.0.0.1:${free[size + i]}
[keepers]
seeds = ${seeds.join(',')}
secret = ${SECRET}
[data]
folder = ${dataFolder}
may-found = true
tolerated-losses = 1
${moreSettings}`);
      return { folder: dataFolder, settings };
    });
    return new Fleet(configurations, free[2 * size]);
  }

  async start(i: number, mayFound = true): Promise<void> {
    const created = new keeper.Keeper({
      settings: { ...this.configurations[i].settings, mayFound },
      protocol: PROTOCOL,
      observer: this.observer,
      random: random.seeded(i + 1),
      onDiskFailure: (error) => {
        throw new Error(String(error));
      },
    });
    expect(await created.start()).to.equal(true);
    this.running.set(i, created);
  }

  async stop(i: number): Promise<void> {
    await this.running.get(i)?.stop();
    this.running.delete(i);
  }

  async stopAll(): Promise<void> {
    for (const close of this.closing) await close();
    for (const i of [...this.running.keys()]) await this.stop(i);
  }

  /** Stalls the disk of a keeper under its next write; the writes are done or lost in the end. */
  stallDisk(i: number): { resume: () => void; lose: () => void } {
    const { host } = this.running.get(i) as unknown as { host: KeeperHost };
    const { journal } = host.dependencies;
    const append = journal.append.bind(journal);
    let resume = (): void => undefined;
    let lose = (): void => undefined;
    const stalled = new Promise<void>((resolve, reject) => {
      resume = resolve;
      lose = () => reject(new Error('lost'));
    });
    journal.append = async (records) => {
      await stalled;
      await append(records);
    };
    return { resume, lose };
  }

  /** Holds up the calls of a method that a keeper sends, as a cut does, until they are delivered. */
  holdCalls(i: number, method: string): { held: () => number; deliver: () => void } {
    const { client } = this.running.get(i) as unknown as { client: peerClient.PeerClient };
    const call = client.call.bind(client);
    let held = 0;
    let deliver = (): void => undefined;
    const healed = new Promise<void>((resolve) => {
      deliver = resolve;
    });
    client.call = async (address, called, ...rest) => {
      if (called === method) {
        held += 1;
        await healed;
      }
      return call(address, called, ...rest);
    };
    return { held: () => held, deliver };
  }

  get leader(): number {
    return [...this.running].find(([, each]) => each.gauges().leads === 1)?.[0] ?? -1;
  }

  async call(i: number, method: string, url: string, body?: unknown): Promise<[number, string]> {
    const { port } = this.configurations[i].settings.control as { port: number };
    const answer = await fetch(`http://127.0.0.1:${port}${url}`, {
      method,
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    return [answer.status, await answer.text()];
  }

  /** Submits until a keeper accepts, as operators do. */
  async submit(version: number): Promise<void> {
    await until(`version ${version} accepted`, async () => {
      for (const i of this.running.keys()) {
        const [status] = await this.call(i, 'PUT', '/catalogue', { version, valid: true });
        if (status === 200) return true;
      }
      return false;
    });
  }

  async version(): Promise<number> {
    for (const i of this.running.keys()) {
      const [status, body] = await this.call(i, 'GET', '/catalogue');
      if (status === 200) return (JSON.parse(body) as { version: number }).version;
    }
    return 0;
  }

  /** Follows the leader as an entry does. */
  async follow(): Promise<{ state: fleetState.FleetState; link: leaderLink.LeaderLink }> {
    const address = `127.0.0.1:${this.followerPort}`;
    const client = new peerClient.PeerClient(SECRET, undefined, this.observer);
    const server = new peerServer.PeerServer(SECRET, undefined, this.observer);
    const state = new fleetState.FleetState({
      protocol: PROTOCOL,
      observer: this.observer,
      now: clock.steady,
      onCatalogue: () => undefined,
      onRecord: () => undefined,
    });
    server.add('learn', (update) => {
      state.applyUpdate(update as messages.FleetUpdate);
      return {};
    });
    await server.listen({ host: '127.0.0.1', port: this.followerPort });
    const link = new leaderLink.LeaderLink({
      name: 'follower',
      role: 'entry',
      address,
      dataCentre: 'dc0',
      replica: () => undefined,
      seeds: this.configurations[0].settings.seeds,
      client,
      fleetState: state,
      observer: this.observer,
      readClocks: clock.readClocks,
      dispatches: () => [],
      onConfirmed: () => undefined,
    });
    link.start();
    this.closing.push(
      () => link.stop(),
      () => server.close(),
      () => client.close(),
    );
    return { state, link };
  }
}
