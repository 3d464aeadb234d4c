/**
 * celerydrift: one process of a fleet on the users' platform. The only place that joins the product with
 * the platform's adapter. Built into one file, as start-up decides how long a restarted VM is away.
 */
import * as daemon from '@celerydrift/daemon';
import * as platform from '@celerydrift/platform';

/** Names the settings file where the command line doesn't. */
const SETTINGS_VARIABLE = 'CELERYDRIFT_NODE_FILE';

/** Where the loader leaves the listener that it began; see earlyListener.cjs. */
const EARLY_LISTENER = Symbol.for('celerydrift.earlyListener');

type Adapter = daemon.roleMain.Adapter;

function earlyListener(): Adapter['earlyListener'] {
  return (globalThis as { [EARLY_LISTENER]?: Adapter['earlyListener'] })[EARLY_LISTENER];
}

function main(): void {
  const args = process.argv.slice(2);
  const checkOnly = args.includes('--check');
  const settingsFile = args.find((arg) => !arg.startsWith('-')) ?? process.env[SETTINGS_VARIABLE];
  if (settingsFile === undefined) {
    process.stderr.write(`usage: celerydrift [--check] SETTINGS, or set ${SETTINGS_VARIABLE}\n`);
    process.exit(2);
  }
  const adapter: Adapter = {
    traffic: new platform.traffic.Traffic(),
    control: new platform.control.Control(),
    earlyListener: earlyListener(),
  };
  void daemon.roleMain.run(settingsFile, adapter, checkOnly);
}

main();
