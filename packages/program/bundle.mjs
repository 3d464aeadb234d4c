/**
 * Bundles the program into one file under target/. From the sources, so that what a role doesn't use
 * is left out: start-up of a restarted VM is charged in full, and loading code is most of it.
 */
import * as esbuild from 'esbuild';

await esbuild.build({
  entryPoints: ['packages/program/src/main.ts'],
  outfile: 'target/celerydrift.js',
  bundle: true,
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
    undici: './packages/program/undiciParts.cjs',
    'undici/lib/dispatcher/pool': './node_modules/undici/lib/dispatcher/pool.js',
  },
  // Optional parts of bunyan and msgpackr that they do without.
  external: ['dtrace-provider', 'mv', 'source-map-support', 'msgpackr-extract'],
});
