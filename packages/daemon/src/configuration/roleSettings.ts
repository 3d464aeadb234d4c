/**
 * Settings of an entry or a keeper, from an INI file. An entry takes callers' requests; a keeper holds a
 * replica of the log and talks to targets and operators.
 */
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import * as codecs from './codecs';

export type Role = 'entry' | 'keeper';

export interface Settings {
  role: Role;
  name: string;
  dataCentre: string;
  /** Callers' listener of an entry. */
  callers: codecs.Address | undefined;
  /** Where the balancer asks an entry whether it is ready. */
  readiness: codecs.Address | undefined;
  /** Listener of a keeper for targets and operators. */
  control: codecs.Address | undefined;
  peers: codecs.Address;
  /** Address by which others reach `peers`; another one where a forwarder stands in between. */
  advertised: codecs.Address;
  /** IP address that outgoing connections come from; undefined where the operating system chooses. */
  source: string | undefined;
  metrics: codecs.Address | undefined;
  /** Peer addresses of keepers to ask first. */
  seeds: string[];
  secret: string;
  /** Folder of a keeper's replica. */
  dataFolder: string;
  /** Whether the fleet starts for the first time, so that the seeds may found the replica set. */
  mayFound: boolean;
  /** Voters that the replica set grows to. */
  replicas: number;
  logLevel: string;
  /** What the VM's link carries, megabits a second; copies of the registry may fill a part of it. */
  linkMbps: number;
  /** How long a planned stop may take, milliseconds. */
  stopMs: number;
  /** A key that was taken away must be refused after so long, milliseconds. */
  revokeMs: number;
  /** A target that announced that it leaves gets no request after so long, milliseconds. */
  drainMs: number;
  /** Bounds on requests that are sent to a second target. */
  repeats: domain.request.repeatBudget.Rule;
}

/** Values where a file leaves a key out. */
export const DEFAULTS = {
  role: 'entry',
  callers: '',
  readiness: '',
  control: '',
  advertised: '',
  source: '',
  metrics: '',
  seeds: '',
  'keeper-port': '0',
  folder: '',
  'may-found': 'false',
  'tolerated-losses': '1',
  level: 'info',
  'link-mbps': '100',
  'stop-seconds': '8',
  'revoke-ms': '5000',
  'drain-ms': '2000',
  'repeat-ratio': '0.2',
  'repeat-slack': '100',
  'repeat-window-seconds': '10',
} as const;

const { ADDRESS, ADDRESSES, NAME, OPTIONAL_ADDRESS, OPTIONAL_IP, SECRET, TEXT, oneOf, range } =
  codecs;

const SECTIONS: codecs.Sections = {
  daemon: { role: oneOf('entry', 'keeper'), name: NAME, 'data-centre': NAME },
  listen: {
    callers: OPTIONAL_ADDRESS,
    readiness: OPTIONAL_ADDRESS,
    control: OPTIONAL_ADDRESS,
    peers: ADDRESS,
    advertised: OPTIONAL_ADDRESS,
    source: OPTIONAL_IP,
    metrics: OPTIONAL_ADDRESS,
  },
  keepers: { seeds: ADDRESSES, 'keeper-port': range(0, 65_535), secret: SECRET },
  data: { folder: TEXT, 'may-found': oneOf('true', 'false'), 'tolerated-losses': range(0, 4) },
  observe: { level: oneOf('trace', 'debug', 'info', 'warn', 'error', 'fatal') },
  bounds: {
    'link-mbps': range(1, 1_000_000),
    'stop-seconds': range(1, 3_600),
    'revoke-ms': range(500, 3_600_000),
    'drain-ms': range(100, 3_600_000),
    'repeat-ratio': range(0, 10),
    'repeat-slack': range(0, 1_000_000),
    'repeat-window-seconds': range(1, 3_600),
  },
};

type Values = domain.settings.schema.Values;

/** Seeds are named by any port of theirs; keepers listen for peers on the same port everywhere. */
function readSeeds(values: Values): string[] {
  const port = values.get('keepers.keeper-port') as number;
  const seeds = values.get('keepers.seeds') as string[];
  return port === 0
    ? seeds
    : seeds.map((seed) => `${seed.slice(0, seed.lastIndexOf(':'))}:${port}`);
}

function readListeners(
  values: Values,
): Pick<
  Settings,
  'callers' | 'readiness' | 'control' | 'peers' | 'advertised' | 'source' | 'metrics'
> {
  const optional = (key: string): codecs.Address | undefined =>
    (values.get(key) as codecs.Address | '') || undefined;
  const peers = values.get('listen.peers') as codecs.Address;
  return {
    callers: optional('listen.callers'),
    readiness: optional('listen.readiness'),
    control: optional('listen.control'),
    peers,
    advertised: optional('listen.advertised') ?? peers,
    source: (values.get('listen.source') as string) || undefined,
    metrics: optional('listen.metrics'),
  };
}

function buildSettings(values: Values): Settings {
  const number = (key: string): number => values.get(key) as number;
  return {
    role: values.get('daemon.role') as Role,
    name: values.get('daemon.name') as string,
    dataCentre: values.get('daemon.data-centre') as string,
    ...readListeners(values),
    seeds: readSeeds(values),
    secret: values.get('keepers.secret') as string,
    dataFolder: values.get('data.folder') as string,
    mayFound: values.get('data.may-found') === 'true',
    replicas: 2 * number('data.tolerated-losses') + 1,
    logLevel: values.get('observe.level') as string,
    linkMbps: number('bounds.link-mbps'),
    stopMs: number('bounds.stop-seconds') * 1_000,
    revokeMs: number('bounds.revoke-ms'),
    drainMs: number('bounds.drain-ms'),
    repeats: {
      ratio: number('bounds.repeat-ratio'),
      slack: number('bounds.repeat-slack'),
      windowMs: number('bounds.repeat-window-seconds') * 1_000,
    },
  };
}

function findMissingKeys(settings: Settings): domain.settings.schema.Problem[] {
  const wanted: [string, string, boolean][] =
    settings.role === 'entry'
      ? [
          ['listen', 'callers', settings.callers === undefined],
          ['listen', 'readiness', settings.readiness === undefined],
        ]
      : [
          ['listen', 'control', settings.control === undefined],
          ['data', 'folder', settings.dataFolder === ''],
        ];
  return wanted
    .filter(([, , absent]) => absent)
    .map(([section, key]) => {
      return { section, key, value: '(missing)', mend: `a ${settings.role} needs it` };
    });
}

/** Reads the settings of an entry or a keeper, or says everything that is wrong with them. */
export function read(text: string): Result<Settings, domain.settings.schema.Problem[]> {
  const problems: domain.settings.schema.Problem[] = [];
  const values = codecs.readSections(text, SECTIONS, DEFAULTS, problems);
  if (problems.length > 0) return Err(problems);
  const settings = buildSettings(values);
  const absent = findMissingKeys(settings);
  return absent.length > 0 ? Err(absent) : Ok(settings);
}
