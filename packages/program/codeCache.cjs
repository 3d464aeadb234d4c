/**
 * File of V8's code cache. V8 checks only its own version, its flags and the lengths of the cache and of the source: a
 * damaged cache ends the process by a signal, and the cache of another program of the same length runs that program.
 * So the file has a digest of itself, of its program and of its runtime, and V8 gets the cache only if all match.
 *
 * Format: magic, digest of all that follows, digest of the program, digest of the runtime, V8's data.
 */
'use strict';

const crypto = require('node:crypto');
const fs = require('node:fs');
const v8 = require('node:v8');
const { replaceFile } = require('./replaceFile.cjs');

/** Key on `globalThis` under which the program finds what became of its code cache. */
const KEY = Symbol.for('celerydrift.codeCache');

/** Names the format. The header's length is a multiple of 8, as V8 copies data that isn't aligned. */
const MAGIC = Buffer.from('CDCACHE1');

const DIGEST_BYTES = 32;

const PROGRAM_OFFSET = MAGIC.length + DIGEST_BYTES;
const RUNTIME_OFFSET = PROGRAM_OFFSET + DIGEST_BYTES;
const DATA_OFFSET = RUNTIME_OFFSET + DIGEST_BYTES;

function digest(...parts) {
  const hash = crypto.createHash('sha256');
  parts.forEach((part) => hash.update(part));
  return hash.digest();
}

/** Digest of what a cache depends on besides its program; V8's tag covers its version, its flags and the processor. */
function runtimeDigest() {
  const { version, arch, platform } = process;
  return digest(JSON.stringify([version, arch, platform, v8.cachedDataVersionTag()]));
}

function isWhole(file) {
  if (file.length <= DATA_OFFSET || !file.subarray(0, MAGIC.length).equals(MAGIC)) return false;
  return digest(file.subarray(PROGRAM_OFFSET)).equals(file.subarray(MAGIC.length, PROGRAM_OFFSET));
}

function readFile(file) {
  try {
    return fs.readFileSync(file);
  } catch {
    return undefined;
  }
}

/**
 * Reads the cache of a program, given its bytes. `state` is `readable`, or why there is no `data`: `missing`,
 * `damaged`, `otherRuntime` or `otherProgram`.
 */
function read(file, program) {
  const content = readFile(file);
  if (content === undefined) return { state: 'missing' };
  if (!isWhole(content)) return { state: 'damaged' };
  if (!content.subarray(RUNTIME_OFFSET, DATA_OFFSET).equals(runtimeDigest()))
    return { state: 'otherRuntime' };
  if (!content.subarray(PROGRAM_OFFSET, RUNTIME_OFFSET).equals(digest(program)))
    return { state: 'otherProgram' };
  return { state: 'readable', data: content.subarray(DATA_OFFSET) };
}

/** Writes the cache that V8 made of a program, given its bytes. */
function write(file, program, data) {
  const content = [digest(program), runtimeDigest(), data];
  replaceFile(file, Buffer.concat([MAGIC, digest(...content), ...content]));
}

module.exports = { KEY, read, write };
