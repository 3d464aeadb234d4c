/**
 * The settings of a daemon, read from an INI file: name, addresses, peers, data folder, TLS, limits, timeouts.
 * All problems of a file are reported at once, each with section, key, value and how to fix it.
 */
import type * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import * as codecs from './codecs';

export type Address = codecs.Address;

export const { formatAddress } = codecs;

export interface Tls {
  certificateFile: string;
  keyFile: string;
  authorityFile: string;
}

export interface Configuration {
  name: string;
  dataCentre: string;
  /** Listen addresses; port 0 selects any free port. */
  callers: Address;
  targets: Address;
  operators: Address;
  peers: Address;
  /** Peer addresses contacted first at start; should include the VMs with disks. */
  seeds: string[];
  /** Peer addresses of the VMs that found the replica set; must be the same on all daemons. */
  founders: string[];
  /** Empty for a daemon without a disk. */
  dataFolder: string;
  /** Number of voters that repair maintains. */
  replicas: number;
  ledgerShards: number;
  /** Shared secret by which daemons authenticate to each other. */
  peerSecret: string;
  /** Shared secret by which targets authenticate their announcements. */
  targetSecret: string;
  /** SHA-256 of the operator token that may change every settings subtree. */
  operatorTokenHash: string;
  tls: Tls | undefined;
  staleness: domain.membership.freshness.StalenessRule;
  statsd: Address | undefined;
  logLevel: string;
  limits: {
    bodyBytes: number;
    /** Most bytes that are held for all clients together. */
    heldBytes: number;
    connections: number;
    headerSeconds: number;
    bodySeconds: number;
  };
  timeouts: {
    connectMs: number;
    /** Response timeout of an engine's stream; after it the engine is probed over a new connection. */
    silenceMs: number;
    /** Grace period of a planned stop of this daemon. */
    stopSeconds: number;
    /** Time after which a replica that doesn't respond is replaced. */
    deadReplicaMs: number;
  };
  policy: string;
}

/** Defaults of optional keys. Keys that are not listed, such as `name`, are required. */
export const DEFAULTS = {
  callers: '127.0.0.1:8080',
  targets: '127.0.0.1:8081',
  operators: '127.0.0.1:8082',
  peers: '127.0.0.1:8083',
  seeds: '',
  founders: '',
  folder: '',
  replicas: '3',
  'ledger-shards': '1',
  'staleness-rule': 'majority',
  certificate: '',
  key: '',
  authority: '',
  statsd: '',
  level: 'info',
  policy: 'elasticReserve',
  'body-bytes': '67108864',
  'held-mb': '256',
  connections: '10000',
  'header-seconds': '10',
  'body-seconds': '60',
  'connect-ms': '1000',
  'silence-ms': '2000',
  'stop-seconds': '120',
  'dead-replica-ms': '10000',
} as const;

const { ADDRESS, ADDRESSES, HASHES, NAME, OPTIONAL_ADDRESS, SECRET, TEXT, oneOf, range } = codecs;

const SECTIONS: codecs.Sections = {
  daemon: { name: NAME, 'data-centre': NAME },
  listen: { callers: ADDRESS, targets: ADDRESS, operators: ADDRESS, peers: ADDRESS },
  peers: { seeds: ADDRESSES, secret: SECRET },
  data: {
    folder: TEXT,
    founders: ADDRESSES,
    replicas: range(1, 9),
    'ledger-shards': range(1, 64),
  },
  security: {
    'target-secret': SECRET,
    'operator-token': HASHES,
    certificate: TEXT,
    key: TEXT,
    authority: TEXT,
  },
  settings: { 'staleness-rule': oneOf('majority', 'refuse', 'serve') },
  observe: {
    statsd: OPTIONAL_ADDRESS,
    level: oneOf('trace', 'debug', 'info', 'warn', 'error', 'fatal'),
  },
  routing: {
    policy: oneOf('elasticReserve', 'enginePriority', 'longCap', 'roundRobin', 'leastOutstanding'),
  },
  limits: {
    'body-bytes': range(1_024, 268_435_456),
    'held-mb': range(1, 1_000_000),
    connections: range(1, 1_000_000),
    'header-seconds': range(1, 600),
    'body-seconds': range(1, 3_600),
  },
  timeouts: {
    'connect-ms': range(10, 60_000),
    'silence-ms': range(50, 600_000),
    'stop-seconds': range(0, 3_600),
    'dead-replica-ms': range(500, 3_600_000),
  },
};

type Values = domain.settings.schema.Values;

function readTls(values: Values, problems: domain.settings.schema.Problem[]): Tls | undefined {
  const certificateFile = String(values.get('security.certificate') ?? '');
  const keyFile = String(values.get('security.key') ?? '');
  const authorityFile = String(values.get('security.authority') ?? '');
  const files = [certificateFile, keyFile, authorityFile];
  if (files.every((file) => file === '')) return undefined;
  if (files.includes('')) {
    const mend = 'give certificate, key and authority together, or none of them';
    problems.push({ section: 'security', key: 'certificate', value: certificateFile, mend });
  }
  return { certificateFile, keyFile, authorityFile };
}

function readListeners(
  values: Values,
): Pick<Configuration, 'callers' | 'targets' | 'operators' | 'peers'> {
  return {
    callers: values.get('listen.callers') as Address,
    targets: values.get('listen.targets') as Address,
    operators: values.get('listen.operators') as Address,
    peers: values.get('listen.peers') as Address,
  };
}

function readLimitsAndTimeouts(values: Values): Pick<Configuration, 'limits' | 'timeouts'> {
  const readNumber = (key: string): number => values.get(key) as number;
  return {
    limits: {
      bodyBytes: readNumber('limits.body-bytes'),
      heldBytes: readNumber('limits.held-mb') * codecs.BYTES_PER_MB,
      connections: readNumber('limits.connections'),
      headerSeconds: readNumber('limits.header-seconds'),
      bodySeconds: readNumber('limits.body-seconds'),
    },
    timeouts: {
      connectMs: readNumber('timeouts.connect-ms'),
      silenceMs: readNumber('timeouts.silence-ms'),
      stopSeconds: readNumber('timeouts.stop-seconds'),
      deadReplicaMs: readNumber('timeouts.dead-replica-ms'),
    },
  };
}

function buildConfiguration(values: Values, tls: Tls | undefined): Configuration {
  return {
    name: values.get('daemon.name') as string,
    dataCentre: values.get('daemon.data-centre') as string,
    ...readListeners(values),
    seeds: values.get('peers.seeds') as string[],
    founders: values.get('data.founders') as string[],
    dataFolder: values.get('data.folder') as string,
    replicas: values.get('data.replicas') as number,
    ledgerShards: values.get('data.ledger-shards') as number,
    peerSecret: values.get('peers.secret') as string,
    targetSecret: values.get('security.target-secret') as string,
    operatorTokenHash: (values.get('security.operator-token') as string[])[0],
    tls,
    staleness: values.get('settings.staleness-rule') as Configuration['staleness'],
    statsd: (values.get('observe.statsd') as Address | '') || undefined,
    logLevel: values.get('observe.level') as string,
    ...readLimitsAndTimeouts(values),
    policy: values.get('routing.policy') as string,
  };
}

/** Parses the settings file of a daemon; returns all its problems if there are any. */
export function read(text: string): Result<Configuration, domain.settings.schema.Problem[]> {
  const problems: domain.settings.schema.Problem[] = [];
  const values = codecs.readSections(text, SECTIONS, DEFAULTS, problems);
  const tls = readTls(values, problems);
  return problems.length > 0 ? Err(problems) : Ok(buildConfiguration(values, tls));
}
