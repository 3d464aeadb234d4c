/** Catalogues as they travel and are stored: the operator's own bytes, compressed. */
import * as zlib from 'node:zlib';
import type * as domain from '@celerydrift/domain';

type Edition = domain.catalogue.versions.Edition;

export function pack(version: number, document: Buffer): Edition {
  return { version, packed: zlib.deflateRawSync(document) };
}

/** The operator's bytes. */
export function unpack({ packed }: Edition): Buffer {
  return zlib.inflateRawSync(packed);
}
