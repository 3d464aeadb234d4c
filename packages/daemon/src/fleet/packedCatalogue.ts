/** Catalogues as they are sent and stored: the operator's own document, compressed. */
import * as zlib from 'node:zlib';
import type * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';

type PackedCatalogue = domain.catalogue.newestCatalogue.PackedCatalogue;

export function pack(version: number, document: Buffer): PackedCatalogue {
  return { version, packed: zlib.deflateRawSync(document) };
}

/** Returns the operator's document, or why it can't be unpacked: it may come from a peer, or from the disk. */
export function unpack({ packed }: PackedCatalogue): Result<Buffer, { detail: string }> {
  try {
    return Ok(zlib.inflateRawSync(packed));
  } catch (error) {
    return Err({ detail: String(error) });
  }
}
