/** HTTP API on which targets announce themselves; announcements also renew a target's lease and report its draining. */
import * as crypto from 'node:crypto';
import type * as domain from '@celerydrift/domain';
import * as t from 'io-ts';
import * as Either from 'fp-ts/Either';
import * as errors from '../requests/errors';
import type * as targetTable from '../targets/targetTable';
import * as boundedJson from './boundedJson';
import * as listener from './listener';
import * as reply from './reply';

const LOADED_MODEL = t.type({ base: t.string, adapter: t.string, version: t.string });

const TARGET = t.type({
  name: t.string,
  incarnation: t.number,
  sequence: t.number,
  kind: t.union([t.literal('engine'), t.literal('service')]),
  address: t.string,
  dataCentre: t.string,
  status: t.union([t.literal('serving'), t.literal('leaving')]),
  fencing: t.union([t.literal('checked'), t.literal('ignored')]),
  service: t.string,
  models: t.array(LOADED_MODEL),
  memoryTokens: t.number,
  load: t.type({ queuedTokens: t.number, streams: t.number, freeTokens: t.number }),
});

export class TargetsApi {
  private readonly secretHash: Buffer;

  constructor(
    secret: string,
    private readonly table: targetTable.TargetTable,
  ) {
    this.secretHash = crypto.createHash('sha256').update(secret).digest();
  }

  async route(call: listener.Call): Promise<void> {
    const givenHash = crypto.createHash('sha256').update(listener.bearer(call.headers)).digest();
    if (!crypto.timingSafeEqual(givenHash, this.secretHash)) {
      reply.error(call.response, errors.notRun('unauthorized', 'give the secret of the targets'));
      return;
    }
    if (call.path !== '/targets/announce' || call.method !== 'POST') {
      reply.error(call.response, errors.notRun('notFound', `no such path: ${call.path}`));
      return;
    }
    const decoded = TARGET.decode(boundedJson.parse(call.body));
    if (Either.isLeft(decoded)) {
      const keys = decoded.left.map(({ context }) => context.map(({ key }) => key).join('.'));
      const message = `the announcement is invalid at ${keys.join(', ')}`;
      reply.error(call.response, errors.notRun('badRequest', message));
      return;
    }
    await this.table.handleAnnouncement(decoded.right satisfies domain.target.target.Target);
    reply.json(call.response, 200, { taken: true });
  }
}
