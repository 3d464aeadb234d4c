/**
 * The settings of an entry or a keeper, read from an INI file. An entry serves callers' requests; a keeper holds
 * a replica of the log and serves targets and operators.
 */
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import * as codecs from './codecs';

export type Role = 'entry' | 'keeper';

/** Order of requests that wait for engines; see `keeper/contentionPolicy.ts`. */
export type ContentionMode = 'arrival' | 'adaptive';

export interface Settings {
  role: Role;
  name: string;
  dataCentre: string;
  /** Data centres that a keeper lets operators evacuate; empty for those of the announced targets. */
  dataCentres: string[];
  /** Address on which an entry listens for callers; undefined for a keeper. */
  callers: codecs.Address | undefined;
  /** Address of an entry's readiness check for the load balancer. */
  readiness: codecs.Address | undefined;
  /** Address on which a keeper listens for targets and operators. */
  control: codecs.Address | undefined;
  peers: codecs.Address;
  /** Address at which peers reach the listener on `peers`; differs from it behind a forwarding proxy. */
  advertised: codecs.Address;
  /** Source IP address of outgoing connections; undefined if the operating system chooses it. */
  source: string | undefined;
  metrics: codecs.Address | undefined;
  /** Peer addresses of the keepers that are contacted first. */
  seeds: string[];
  secret: string;
  /** Data folder of a keeper's replica. */
  dataFolder: string;
  /** Whether the seeds may found the replica set; true only for the first start of a fleet. */
  mayFound: boolean;
  /** Number of voters that the replica set grows to. */
  replicas: number;
  logLevel: string;
  /** Network bandwidth of the VM, megabits a second; registry snapshots may use a share of it. */
  linkMbps: number;
  /** Time limit of a planned stop, milliseconds. */
  stopMs: number;
  /** Time after which every entry refuses a revoked API key, milliseconds. */
  revokeMs: number;
  /** Time after which a target that announced that it drains gets no more requests, milliseconds. */
  drainMs: number;
  /**
   * Time after which an evacuated data centre gets no more requests, milliseconds; 0 if operators can't evacuate data
   * centres.
   */
  evacuationMs: number;
  /** Most bytes that are held for callers, or for targets and operators; 0 for no bound. */
  heldBytes: number;
  /** Most connections of callers, or of targets and operators; fewer where the process may open too few descriptors. */
  connections: number;
  /** Retry budget: limits the requests that are sent to a second target. */
  repeats: domain.request.repeatBudget.Rule;
  contentionMode: ContentionMode;
}

/** Defaults of optional keys. Keys that are not listed are required. */
export const DEFAULTS = {
  role: 'entry',
  'data-centres': '',
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
  'evacuation-ms': '0',
  'held-mb': '96',
  connections: '2000',
  'repeat-ratio': '0.2',
  'repeat-slack': '100',
  'repeat-window-seconds': '10',
  mode: 'arrival',
} as const;

const { ADDRESS, ADDRESSES, NAME, OPTIONAL_ADDRESS, OPTIONAL_IP, OPTIONAL_NAMES } = codecs;
const { SECRET, TEXT, oneOf, range } = codecs;

const SECTIONS: codecs.Sections = {
  daemon: {
    role: oneOf('entry', 'keeper'),
    name: NAME,
    'data-centre': NAME,
    'data-centres': OPTIONAL_NAMES,
  },
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
    'evacuation-ms': range(0, 3_600_000),
    'held-mb': range(0, 1_000_000),
    connections: range(1, 1_000_000),
    'repeat-ratio': range(0, 10),
    'repeat-slack': range(0, 1_000_000),
    'repeat-window-seconds': range(1, 3_600),
  },
  contention: { mode: oneOf('arrival', 'adaptive') },
};

type Values = domain.settings.schema.Values;

/**
 * Replaces the port of each seed by `keeper-port`, the peer port of all keepers, unless that is 0. Seeds may thus be
 * listed with any port of their keepers.
 */
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
  const readNumber = (key: string): number => values.get(key) as number;
  return {
    role: values.get('daemon.role') as Role,
    name: values.get('daemon.name') as string,
    dataCentre: values.get('daemon.data-centre') as string,
    dataCentres: values.get('daemon.data-centres') as string[],
    ...readListeners(values),
    seeds: readSeeds(values),
    secret: values.get('keepers.secret') as string,
    dataFolder: values.get('data.folder') as string,
    mayFound: values.get('data.may-found') === 'true',
    replicas: 2 * readNumber('data.tolerated-losses') + 1,
    logLevel: values.get('observe.level') as string,
    linkMbps: readNumber('bounds.link-mbps'),
    stopMs: readNumber('bounds.stop-seconds') * 1_000,
    revokeMs: readNumber('bounds.revoke-ms'),
    drainMs: readNumber('bounds.drain-ms'),
    evacuationMs: readNumber('bounds.evacuation-ms'),
    heldBytes: readNumber('bounds.held-mb') * codecs.BYTES_PER_MB,
    connections: readNumber('bounds.connections'),
    repeats: {
      ratio: readNumber('bounds.repeat-ratio'),
      slack: readNumber('bounds.repeat-slack'),
      windowMs: readNumber('bounds.repeat-window-seconds') * 1_000,
    },
    contentionMode: values.get('contention.mode') as ContentionMode,
  };
}

function findMissingKeys(settings: Settings): domain.settings.schema.Problem[] {
  const required: [string, string, boolean][] =
    settings.role === 'entry'
      ? [
          ['listen', 'callers', settings.callers === undefined],
          ['listen', 'readiness', settings.readiness === undefined],
        ]
      : [
          ['listen', 'control', settings.control === undefined],
          ['data', 'folder', settings.dataFolder === ''],
        ];
  return required
    .filter(([, , isMissing]) => isMissing)
    .map(([section, key]) => {
      return { section, key, value: '(missing)', mend: `required for role ${settings.role}` };
    });
}

/** Parses the settings file of an entry or a keeper; returns all its problems if there are any. */
export function read(text: string): Result<Settings, domain.settings.schema.Problem[]> {
  const problems: domain.settings.schema.Problem[] = [];
  const values = codecs.readSections(text, SECTIONS, DEFAULTS, problems);
  if (problems.length > 0) return Err(problems);
  const settings = buildSettings(values);
  const missing = findMissingKeys(settings);
  return missing.length > 0 ? Err(missing) : Ok(settings);
}
