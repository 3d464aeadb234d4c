/**
 * A daemon's own settings, from an INI file: names and addresses, peers, data folder, TLS, timeouts.
 * Everything wrong with a file is said at once, each with section, key, value and mend.
 */
import type * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import * as codecs from './codecs';

export type Address = codecs.Address;

export const { format } = codecs;

export interface Tls {
  certificateFile: string;
  keyFile: string;
  authorityFile: string;
}

export interface Configuration {
  name: string;
  dataCentre: string;
  /** Listeners. Port 0 takes any free port. */
  callers: Address;
  targets: Address;
  operators: Address;
  peers: Address;
  /** Peers to ask first; the VMs with disks should be among them. */
  seeds: string[];
  /** Peer addresses of the VMs that found the replica set; all must agree on it. */
  founders: string[];
  /** Empty for a daemon without a disk. */
  dataFolder: string;
  /** Voters that repair aims at. */
  replicas: number;
  ledgerShards: number;
  /** Shared by all daemons; proves them to each other. */
  peerSecret: string;
  /** Targets announce themselves with it. */
  targetSecret: string;
  /** SHA-256 of the token that may change every subtree. */
  operatorTokenHash: string;
  tls: Tls | undefined;
  staleness: domain.membership.freshness.Rule;
  statsd: Address | undefined;
  logLevel: string;
  limits: {
    bodyBytes: number;
    connections: number;
    headerSeconds: number;
    bodySeconds: number;
  };
  timeouts: {
    connectMs: number;
    /** Silence on an engine's stream before the engine is asked over a new connection. */
    silenceMs: number;
    /** Grace of a planned stop of this daemon, in seconds. */
    stopSeconds: number;
    deadReplicaMs: number;
  };
  policy: string;
}

/** Values where a file leaves a key out. `name` and the like have none. */
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
  const parts = [certificateFile, keyFile, authorityFile];
  if (parts.every((part) => part === '')) return undefined;
  if (parts.includes('')) {
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
  const number = (key: string): number => values.get(key) as number;
  return {
    limits: {
      bodyBytes: number('limits.body-bytes'),
      connections: number('limits.connections'),
      headerSeconds: number('limits.header-seconds'),
      bodySeconds: number('limits.body-seconds'),
    },
    timeouts: {
      connectMs: number('timeouts.connect-ms'),
      silenceMs: number('timeouts.silence-ms'),
      stopSeconds: number('timeouts.stop-seconds'),
      deadReplicaMs: number('timeouts.dead-replica-ms'),
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

/** Reads a daemon's settings file, or says everything that is wrong with it. */
export function read(text: string): Result<Configuration, domain.settings.schema.Problem[]> {
  const problems: domain.settings.schema.Problem[] = [];
  const values = codecs.readSections(text, SECTIONS, DEFAULTS, problems);
  const tls = readTls(values, problems);
  return problems.length > 0 ? Err(problems) : Ok(buildConfiguration(values, tls));
}
