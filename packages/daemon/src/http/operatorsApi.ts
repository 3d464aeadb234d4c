/**
 * HTTP API for operators: settings, planned stops, audit trail and status. A team's token gives access to the
 * team's subtree, the fleet's token to all. Reads that must be current are answered by the leader.
 */
import * as crypto from 'node:crypto';
import * as domain from '@celerydrift/domain';
import * as Option from 'fp-ts/Option';
import type * as controlErrors from '../control/errors';
import type * as logClient from '../control/logClient';
import * as logServer from '../control/logServer';
import type * as query from '../control/query';
import type * as observer from '../observability/observer';
import * as admission from '../requests/admission';
import * as errors from '../requests/errors';
import * as boundedJson from './boundedJson';
import * as listener from './listener';
import * as reply from './reply';

export interface Options {
  fleetTokenHash: string;
  directory: () => domain.settings.directory.Directory;
  client: logClient.LogClient;
  query: query.QueryClient;
  observer: observer.Observer;
  status: () => unknown;
  targets: () => unknown;
}

/** The authenticated operator. */
interface Author {
  name: string;
  /** Teams that the operator may act for; undefined for all. */
  teams: readonly string[] | undefined;
}

interface ChangeBody {
  id?: unknown;
  basedOn?: unknown;
  text?: unknown;
}

interface StopBody {
  id?: unknown;
  subject?: unknown;
  name?: unknown;
  graceSeconds?: unknown;
}

const STOP_SUBJECTS: readonly unknown[] = ['target', 'vm', 'dataCentre'];

const STATUS_BY_ANSWER: Record<domain.settings.tree.Answer['kind'], number> = {
  accepted: 200,
  conflict: 409,
  invalid: 400,
  reused: 422,
};

export class OperatorsApi {
  constructor(private readonly options: Options) {}

  async route(call: listener.Call): Promise<void> {
    const author = this.author(call);
    if (author === undefined) {
      this.options.observer.log('operatorRejected', { address: call.address });
      reply.error(call.response, errors.notRun('unauthorized', 'give an operator token'));
      return;
    }
    const [, , collection, id = ''] = call.path.split('/').map(decodeURIComponent);
    const operation = `${call.method} ${collection}`;
    if (operation === 'PUT settings') await this.changeSettings(call, author, id);
    else if (operation === 'GET settings')
      await this.answerQuery(call, { kind: 'subtree', name: id });
    else if (operation === 'GET subtrees') await this.answerQuery(call, { kind: 'subtrees' });
    else if (operation === 'GET audit')
      await this.answerQuery(call, { kind: 'audit', limit: limitOf(call) });
    else if (operation === 'GET force')
      await this.answerQuery(call, { kind: 'inForce', index: Number(id) });
    else if (operation === 'GET stops') await this.answerQuery(call, { kind: 'stops' });
    else if (operation === 'POST stops') await this.announceStop(call, author);
    else if (operation === 'DELETE stops') await this.cancelStop(call, author, id);
    else if (operation === 'GET status') reply.json(call.response, 200, this.options.status());
    else if (operation === 'GET targets') reply.json(call.response, 200, this.options.targets());
    else reply.error(call.response, errors.notRun('notFound', `no such path: ${call.path}`));
  }

  private author(call: listener.Call): Author | undefined {
    const hash = admission.keyHash(listener.bearer(call.headers));
    const fleet = Buffer.from(this.options.fleetTokenHash, 'hex');
    if (crypto.timingSafeEqual(Buffer.from(hash, 'hex'), fleet)) {
      return { name: 'fleet', teams: undefined };
    }
    const directory = this.options.directory();
    const teams = directory.teamsOf(hash);
    if (teams.length === 0) return undefined;
    const names = teams.flatMap((team) => {
      const operator = directory.operator(team, hash);
      return Option.isSome(operator) ? [operator.value.name] : [];
    });
    return { name: names[0] ?? '', teams };
  }

  private async changeSettings(
    call: listener.Call,
    author: Author,
    subtree: string,
  ): Promise<void> {
    if (author.teams !== undefined && !author.teams.includes(subtree)) {
      const message = `your token doesn't speak for subtree ${subtree}`;
      reply.json(call.response, 403, { error: { message, type: 'forbidden' } });
      return;
    }
    const body = boundedJson.parse(call.body) as ChangeBody;
    const { id, basedOn, text } = body;
    if (typeof id !== 'string' || id === '' || !Number.isInteger(basedOn)) {
      badRequest(call, 'give id (a text), basedOn (a revision) and text');
      return;
    }
    if (typeof text !== 'string') {
      badRequest(call, 'text: give the whole INI text of the subtree');
      return;
    }
    const change: domain.settings.tree.Change = {
      id,
      subtree,
      basedOn: basedOn as number,
      text,
      author: author.name,
      address: call.address,
      at: 0,
    };
    const executed = await this.options.client.execute(logServer.SETTINGS_LOG, {
      kind: 'change',
      change,
    });
    if (executed.err) {
      this.unavailable(call, executed.val);
      return;
    }
    const answer = executed.val.answer as domain.settings.tree.Answer;
    const event = answer.kind === 'accepted' ? 'settingAccepted' : 'settingRefused';
    this.options.observer.log(event, { subtree, change: id, kind: answer.kind });
    reply.json(call.response, STATUS_BY_ANSWER[answer.kind], answer);
  }

  private async announceStop(call: listener.Call, author: Author): Promise<void> {
    if (!this.mayPlanStops(call, author)) return;
    const body = boundedJson.parse(call.body) as StopBody;
    const { id, subject, name, graceSeconds = 60 } = body;
    const isValid =
      typeof id === 'string' &&
      id !== '' &&
      STOP_SUBJECTS.includes(subject) &&
      typeof name === 'string' &&
      typeof graceSeconds === 'number' &&
      graceSeconds >= 0;
    if (!isValid) {
      badRequest(call, 'give id, subject (target, vm or dataCentre), name and graceSeconds');
      return;
    }
    const stop: domain.stop.stop.Stop = {
      id,
      subject: subject as domain.stop.stop.Subject,
      name,
      author: author.name,
      at: 0,
      graceSeconds,
    };
    await this.executeCommand(call, { kind: 'announceStop', stop, address: call.address });
  }

  private async cancelStop(call: listener.Call, author: Author, id: string): Promise<void> {
    if (!this.mayPlanStops(call, author)) return;
    const { address } = call;
    await this.executeCommand(call, {
      kind: 'cancelStop',
      id,
      author: author.name,
      address,
      at: 0,
    });
  }

  private mayPlanStops(call: listener.Call, author: Author): boolean {
    if (author.teams === undefined) return true;
    const message = 'planned stops take the token of the fleet';
    reply.json(call.response, 403, { error: { message, type: 'forbidden' } });
    return false;
  }

  private async executeCommand(
    call: listener.Call,
    command: domain.control.state.Command,
  ): Promise<void> {
    const executed = await this.options.client.execute(logServer.SETTINGS_LOG, command);
    if (executed.err) this.unavailable(call, executed.val);
    else reply.json(call.response, 200, { index: executed.val.index });
  }

  private async answerQuery(call: listener.Call, request: query.Query): Promise<void> {
    const answer = await this.options.query.send(request);
    if (answer.err) this.unavailable(call, answer.val);
    else if (answer.val === null) {
      reply.error(call.response, errors.notRun('notFound', 'nothing exists under this name'));
    } else reply.json(call.response, 200, answer.val);
  }

  private unavailable(call: listener.Call, error: controlErrors.ControlError): void {
    const content = { error: { message: error.detail, type: error.kind } };
    reply.json(call.response, 503, content, { 'retry-after': '1' });
  }
}

function limitOf(call: listener.Call): number {
  const requested = Number(call.query.get('limit') ?? 50);
  return Number.isInteger(requested) && requested > 0 ? Math.min(requested, 1_000) : 50;
}

function badRequest(call: listener.Call, message: string): void {
  reply.json(call.response, 400, { error: { message, type: 'badRequest' } });
}
