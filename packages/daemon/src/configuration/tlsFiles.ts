/** Reads the TLS files. Daemons and targets authenticate with certificates of one authority. */
import * as fs from 'node:fs/promises';
import type * as tls from 'node:tls';
import { Err, Ok, Result } from 'ts-results';
import type * as errors from '../errors';
import type * as configuration from './configuration';

export interface TlsOptions {
  server: tls.TlsOptions;
  client: tls.ConnectionOptions;
}

export async function read(
  files: configuration.Tls | undefined,
): Promise<Result<TlsOptions | undefined, errors.StartError>> {
  if (files === undefined) return Ok(undefined);
  try {
    const [cert, key, ca] = await Promise.all([
      fs.readFile(files.certificateFile),
      fs.readFile(files.keyFile),
      fs.readFile(files.authorityFile),
    ]);
    // Peers are addressed by IP, so no host name is checked: a certificate of the fleet's own authority suffices.
    const client = { cert, key, ca, checkServerIdentity: () => undefined };
    return Ok({ server: { cert, key, ca }, client });
  } catch (error) {
    return Err({ kind: 'tlsFile', detail: String(error) });
  }
}
