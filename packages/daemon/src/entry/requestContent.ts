/** What identifies the content of a request, computed once and only where it is asked for. */
import type * as protocols from '../edges/protocols';
import type * as admittedRequest from './admittedRequest';
import * as fingerprint from './fingerprint';

export class RequestContent {
  private cachedFingerprint: string | undefined;

  private cachedSharedParts: readonly string[] | undefined;

  constructor(
    private readonly admitted: Pick<
      admittedRequest.AdmittedRequest,
      'request' | 'organisation' | 'body'
    >,
    private readonly protocol: Pick<protocols.TrafficProtocol, 'sharedParts'>,
  ) {}

  get bodyBytes(): number {
    return this.admitted.body.length;
  }

  /** Fingerprint that all copies of the request share, whatever their ids. */
  get fingerprint(): string {
    const { request, organisation, body } = this.admitted;
    this.cachedFingerprint ??= fingerprint.of({
      host: request.headers.host ?? '',
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      organisation,
      body,
    });
    return this.cachedFingerprint;
  }

  /** Ids of the parts of its prompt that other requests may share. */
  get sharedParts(): readonly string[] {
    this.cachedSharedParts ??= this.protocol.sharedParts(this.admitted.request.headers);
    return this.cachedSharedParts;
  }
}
