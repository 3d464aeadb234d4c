/**
 * Replaces a file as a whole: whoever opens it finds the old content or the new one. Writers of the same file at the
 * same time don't mix, as each writes under a name of its own first.
 */
'use strict';

const crypto = require('node:crypto');
const fs = require('node:fs');

/** Length of the random part of a temporary name, bytes. */
const SUFFIX_BYTES = 8;

function writeAndSync(file, content) {
  // Fails if the name is taken, for example by a link that leads elsewhere.
  const descriptor = fs.openSync(file, 'wx', 0o644);
  try {
    fs.writeFileSync(descriptor, content);
    // Without this a power loss after the rename could leave an empty file under the final name.
    fs.fsyncSync(descriptor);
  } finally {
    fs.closeSync(descriptor);
  }
}

function replaceFile(file, content) {
  const temporary = `${file}.${crypto.randomBytes(SUFFIX_BYTES).toString('hex')}.new`;
  try {
    writeAndSync(temporary, content);
    fs.renameSync(temporary, file);
  } catch (error) {
    fs.rmSync(temporary, { force: true });
    throw error;
  }
}

module.exports = { replaceFile };
