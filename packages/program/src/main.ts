/**
 * Entry point of a celerydrift process, and the only module that combines the daemon with the platform
 * adapter. It is bundled into one file, because start-up time prolongs the outage of a restarted VM.
 */
import * as daemon from '@celerydrift/daemon';
import * as platform from '@celerydrift/platform';

/** Environment variable with the path of the settings file, used if the command line has none. */
const SETTINGS_VARIABLE = 'CELERYDRIFT_NODE_FILE';

/** Key on `globalThis` under which the loader stores its early listener; see earlyListener.cjs. */
const EARLY_LISTENER = Symbol.for('celerydrift.earlyListener');

/** Key on `globalThis` under which the loader stores what became of the code cache; see codeCache.cjs. */
const CODE_CACHE = Symbol.for('celerydrift.codeCache');

/** Identifies the bundled program; defined by the bundler. */
declare const PROGRAM_DIGEST: string;

type Adapter = daemon.roleMain.Adapter;

function earlyListener(): Adapter['earlyListener'] {
  return (globalThis as { [EARLY_LISTENER]?: Adapter['earlyListener'] })[EARLY_LISTENER];
}

function codeCache(): Adapter['codeCache'] {
  return (globalThis as { [CODE_CACHE]?: Adapter['codeCache'] })[CODE_CACHE];
}

function main(): void {
  const args = process.argv.slice(2);
  const checkOnly = args.includes('--check');
  const settingsFile = args.find((arg) => !arg.startsWith('-')) ?? process.env[SETTINGS_VARIABLE];
  if (settingsFile === undefined) {
    process.stderr.write(
      `usage: celerydrift [--check] SETTINGS_FILE, or set ${SETTINGS_VARIABLE}\n`,
    );
    process.exit(2);
  }
  const adapter: Adapter = {
    traffic: new platform.traffic.Traffic(),
    control: new platform.control.Control(),
    earlyListener: earlyListener(),
    programDigest: PROGRAM_DIGEST,
    codeCache: codeCache(),
  };
  void daemon.roleMain.run(settingsFile, adapter, checkOnly);
}

main();
