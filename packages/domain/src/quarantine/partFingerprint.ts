/**
 * Fingerprints of the parts of a prompt that requests share. They stand beside the fingerprints of whole requests, which
 * begin with the length of the body.
 */

const PREFIX = 'part:';

/** Parts of a prompt that can become suspect, its first ones; bounds the suspects of one crash. */
const MAX_PARTS = 64;

export function ofParts(ids: readonly string[]): string[] {
  return ids.slice(0, MAX_PARTS).map((id) => `${PREFIX}${id}`);
}

export function isPart(fingerprint: string): boolean {
  return fingerprint.startsWith(PREFIX);
}
