/** Catalogues as they are sent and stored: the operator's own document, compressed. */
import * as zlib from 'node:zlib';
import type * as domain from '@celerydrift/domain';

type PackedCatalogue = domain.catalogue.newestCatalogue.PackedCatalogue;

export function pack(version: number, document: Buffer): PackedCatalogue {
  return { version, packed: zlib.deflateRawSync(document) };
}

/** Returns the operator's document. */
export function unpack({ packed }: PackedCatalogue): Buffer {
  return zlib.inflateRawSync(packed);
}
