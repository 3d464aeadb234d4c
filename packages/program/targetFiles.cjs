/**
 * Puts the files of a build into the folder that processes start from. A process may start between any two of them, and
 * another build may run in the same folder.
 */
'use strict';

const fs = require('node:fs');
const path = require('node:path');
const { replaceFile } = require('./replaceFile.cjs');

/**
 * The files and their sources beside this module, in the order in which they are replaced: modules before the loader
 * that requires them, and the loader that checks a cache before the program, whose earlier cache is stale from then on.
 */
const LOADER_FILES = [
  ['replaceFile.cjs', 'replaceFile.cjs'],
  ['codeCache.cjs', 'codeCache.cjs'],
  ['earlyListener.cjs', 'earlyListener.cjs'],
  ['celerydrift.js', 'loader.cjs'],
];

/** Writes the loader and the program into a folder, each file by `replace`. */
function writeTarget(folder, program, replace = replaceFile) {
  LOADER_FILES.forEach(([name, source]) => {
    replace(path.join(folder, name), fs.readFileSync(path.join(__dirname, source)));
  });
  replace(path.join(folder, 'program.js'), program);
}

module.exports = { writeTarget };
