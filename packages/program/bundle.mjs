/**
 * Bundles the program into one file under target/ and writes its V8 code cache. It bundles the sources, so that unused
 * code is removed: a restarted VM's start-up time is charged in full, and most of it is spent loading code.
 */
import * as childProcess from 'node:child_process';
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as esbuild from 'esbuild';
import replaceFile from './replaceFile.cjs';
import targetFiles from './targetFiles.cjs';

/** Must match the flags of `run` in the deployment: a code cache is only valid for the flags it was made with. */
const NODE_FLAGS = ['--max-old-space-size=160'];

const TARGET_FOLDER = 'target';
const LOADER_FILE = 'target/celerydrift.js';
const CACHE_FILE = 'target/program.cache';
const SETTINGS_FILE = 'target/cache.ini';

/** Length of the program's digest in logs, hexadecimal digits. */
const DIGEST_LENGTH = 12;

/** Valid settings for the run that writes the cache, which only checks them. */
const PLACEHOLDER_SETTINGS = `
[daemon]
role = entry
name = cache
data-centre = none
[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
peers = 127.0.0.1:3
[keepers]
secret = only-for-the-check-of-settings
`;

const BUILD_OPTIONS = {
  entryPoints: ['packages/program/src/main.ts'],
  outfile: 'target/program.js',
  bundle: true,
  write: false,
  platform: 'node',
  target: 'node20',
  treeShaking: true,
  minifySyntax: true,
  logLevel: 'warning',
  mainFields: ['module', 'main'],
  alias: {
    '@celerydrift/daemon': './packages/daemon/src/index.ts',
    '@celerydrift/domain': './packages/domain/src/index.ts',
    '@celerydrift/platform': './platform/src/index.ts',
    // Without its native module, which takes longer to load than decoding gains by it, and whose faults would end the process.
    msgpackr: './node_modules/msgpackr/index.js',
    undici: './packages/program/undiciPool.cjs',
    'undici/lib/dispatcher/pool': './node_modules/undici/lib/dispatcher/pool.js',
  },
  // Optional dependencies of bunyan.
  external: ['dtrace-provider', 'mv', 'source-map-support'],
};

/** The bundled program, with `digest` as the one that it reports at its start. */
async function bundle(digest) {
  const define = { PROGRAM_DIGEST: JSON.stringify(digest) };
  const { outputFiles } = await esbuild.build({ ...BUILD_OPTIONS, define });
  return outputFiles[0].text;
}

// Logs of a process must tell which program it ran. The program can't contain its own digest, so it contains the one of
// a bundle that is the same but for that.
const digest = crypto
  .createHash('sha256')
  .update(await bundle(''))
  .digest('hex')
  .slice(0, DIGEST_LENGTH);
fs.mkdirSync(TARGET_FOLDER, { recursive: true });
targetFiles.writeTarget(TARGET_FOLDER, await bundle(digest));

// The cache of an earlier build stays until the run below replaces it: the loader ignores it.
replaceFile.replaceFile(SETTINGS_FILE, PLACEHOLDER_SETTINGS);
const cacheRun = childProcess.spawnSync(
  process.execPath,
  [...NODE_FLAGS, LOADER_FILE, '--check', SETTINGS_FILE],
  { env: { PATH: process.env.PATH, CELERYDRIFT_WRITE_CACHE: CACHE_FILE }, stdio: 'inherit' },
);
if (cacheRun.status !== 0)
  throw new Error(`the bundled program failed to load: ${cacheRun.status ?? cacheRun.signal}`);
console.log(`program ${digest}`);
