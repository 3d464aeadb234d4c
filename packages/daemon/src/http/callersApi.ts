/** HTTP API for callers: OpenAI-compatible paths, plain services, and health checks for the load balancer. */
import * as crypto from 'node:crypto';
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import type * as admission from '../requests/admission';
import * as errors from '../requests/errors';
import * as execution from '../requests/execution';
import type * as serviceProxy from '../requests/serviceProxy';
import * as completionRequest from './completionRequest';
import * as completionWriter from './completionWriter';
import * as listener from './listener';
import * as reply from './reply';

export interface Options {
  admission: admission.Admission;
  services: serviceProxy.ServiceProxy;
  execution: execution.Dependencies;
  observer: observer.Observer;
  /** Why this daemon is not ready to admit requests; undefined if it is. */
  unready: () => string | undefined;
  running: Set<execution.Execution>;
  now: () => number;
}

const SERVICE_PATH = /^\/services\/([^/]+)(\/.*)?$/;

/** Headers that concern one connection or this system, which are not forwarded to services. */
const HEADERS_NOT_FORWARDED = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'idempotency-key',
  'keep-alive',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'x-celerydrift-message-id',
  'x-deadline-ms',
  'x-organisation',
  'x-priority',
]);

function header(call: listener.Call, name: string): string {
  const value = call.headers[name];
  return typeof value === 'string' ? value : '';
}

export class CallersApi {
  /** Number of calls whose response is not finished yet; a planned stop waits for them. */
  active = 0;

  constructor(private readonly options: Options) {}

  async route(call: listener.Call): Promise<void> {
    if (call.path === '/healthz') {
      reply.json(call.response, 200, { alive: true });
      return;
    }
    const unready = this.options.unready();
    if (call.path === '/readyz') {
      reply.json(call.response, unready === undefined ? 200 : 503, { ready: !unready, unready });
      return;
    }
    if (unready !== undefined) {
      reply.error(call.response, errors.notRun('notReady', unready, 1_000));
      return;
    }
    const startedAt = this.options.now();
    this.active += 1;
    try {
      await this.routeReady(call);
    } finally {
      this.active -= 1;
    }
    this.options.observer.timing('request.ms', this.options.now() - startedAt);
  }

  private async routeReady(call: listener.Call): Promise<void> {
    const tenant = this.options.admission.tenant(listener.bearer(call.headers));
    if (tenant.err) {
      reply.error(call.response, tenant.val);
      return;
    }
    const service = SERVICE_PATH.exec(call.path);
    if (service !== null) {
      await this.callService(call, tenant.val, service[1], service[2] ?? '/');
    } else if (call.path === '/v1/models' && call.method === 'GET') {
      this.listModels(call, tenant.val);
    } else if (call.path === '/v1/chat/completions' && call.method === 'POST') {
      await this.handleCompletion(call, tenant.val, true);
    } else if (call.path === '/v1/completions' && call.method === 'POST') {
      await this.handleCompletion(call, tenant.val, false);
    } else {
      const message = `no such path: ${call.method} ${call.path}`;
      reply.error(call.response, errors.notRun('notFound', message));
    }
  }

  private listModels(call: listener.Call, tenant: domain.settings.directory.Tenant): void {
    const data = this.options.admission.directory.models(tenant).map(({ name }) => {
      return { id: name, object: 'model', created: 0, owned_by: tenant.team };
    });
    reply.json(call.response, 200, { object: 'list', data });
  }

  private async handleCompletion(
    call: listener.Call,
    tenant: domain.settings.directory.Tenant,
    chat: boolean,
  ): Promise<void> {
    const parsed = completionRequest.parse(call.body, chat);
    if (parsed.err) {
      reply.error(call.response, parsed.val);
      return;
    }
    const admitted = this.admit(call, tenant, parsed.val);
    if ('kind' in admitted) {
      reply.error(call.response, admitted);
      return;
    }
    await this.runCompletion(call, parsed.val, admitted, chat);
  }

  private admit(
    call: listener.Call,
    tenant: domain.settings.directory.Tenant,
    completion: completionRequest.CompletionRequest,
  ): execution.ModelRequest | errors.RequestError {
    const { admission: callerAdmission } = this.options;
    const model = callerAdmission.model(tenant, completion.model);
    if (model.err) return model.val;
    const deadline = callerAdmission.deadline(tenant, header(call, 'x-deadline-ms'));
    if (deadline.err) return deadline.val;
    const priority = callerAdmission.priority(tenant, header(call, 'x-priority'));
    if (priority.err) return priority.val;
    const promptTokens = callerAdmission.estimator.estimate(
      model.val.base,
      completion.prompt.length,
    );
    const total = promptTokens + completion.answerTokens;
    const { gatherer, router } = this.options.execution;
    const { base, adapter, version } = model.val;
    const largestMemory = router.dispatcher.largestMemory({ base, adapter, version });
    if (largestMemory > 0 && total > largestMemory && !gatherer.canHold(total)) {
      return errors.notRun('tooLong', `about ${total} tokens are more than the engines can hold`);
    }
    const charged = callerAdmission.charge(tenant, total);
    if (charged.err) return charged.val;
    return {
      id: crypto.randomUUID(),
      tenant,
      model: model.val,
      prompt: completion.prompt,
      promptTokens,
      answerTokens: completion.answerTokens,
      prefixKeys: callerAdmission.prefixKeys(completion.prompt),
      priority: priority.val,
      deadline: deadline.val,
    };
  }

  private async runCompletion(
    call: listener.Call,
    completion: completionRequest.CompletionRequest,
    request: execution.ModelRequest,
    chat: boolean,
  ): Promise<void> {
    const { response } = call;
    const callerGone = new AbortController();
    response.on('close', () => {
      if (!response.writableFinished) callerGone.abort();
    });
    const metadata: completionWriter.ResponseMetadata = {
      id: `${chat ? 'chatcmpl' : 'cmpl'}-${request.id}`,
      model: completion.model,
      chat,
      created: Math.floor(clock.timeOfDay() / 1_000),
      includeUsage: completion.includeUsage,
    };
    const writer = new completionWriter.StreamWriter(response, metadata);
    const write = (text: string): void => {
      if (completion.stream) writer.write(text);
    };
    const running = new execution.Execution(
      request,
      { write, gone: callerGone.signal },
      this.options.execution,
    );
    this.options.running.add(running);
    const result = await running.run();
    this.options.running.delete(running);
    this.reportOutcome(request, result.ok ? 'completed' : result.val.outcome);
    if (result.err) writer.fail(result.val);
    else if (completion.stream) writer.end(result.val);
    else completionWriter.writeCompletion(response, metadata, result.val);
  }

  private reportOutcome(
    request: execution.ModelRequest,
    outcome: domain.request.outcome.Outcome,
  ): void {
    const { observer: observe } = this.options;
    observe.count(`request.${outcome}`);
    observe.log('requestEnded', {
      request: request.id,
      outcome,
      team: request.tenant.team,
      organisation: request.tenant.organisation.name,
      tokens: request.promptTokens,
    });
  }

  private async callService(
    call: listener.Call,
    tenant: domain.settings.directory.Tenant,
    name: string,
    path: string,
  ): Promise<void> {
    const service = this.options.admission.service(tenant, name);
    if (service.err) {
      reply.error(call.response, service.val);
      return;
    }
    const query = call.query.size > 0 ? `?${call.query.toString()}` : '';
    const deadline = this.options.admission.deadline(tenant, header(call, 'x-deadline-ms'));
    if (deadline.err) {
      reply.error(call.response, deadline.val);
      return;
    }
    const serviceDeadline = this.options.now() + service.val.timeoutSeconds * 1_000;
    const headers = Object.entries(call.headers).flatMap(([key, value]): [string, string][] =>
      HEADERS_NOT_FORWARDED.has(key) || typeof value !== 'string' ? [] : [[key, value]],
    );
    const result = await this.options.services.handle({
      tenant,
      service: service.val,
      method: call.method,
      path: `${path}${query}`,
      headers: Object.fromEntries(headers),
      body: call.body,
      key: header(call, 'idempotency-key'),
      deadline: Math.min(deadline.val, serviceDeadline),
    });
    this.options.observer.count(`service.${result.ok ? 'completed' : result.val.outcome}`);
    if (result.err) {
      reply.error(call.response, result.val);
      return;
    }
    const { status, contentType, body, replayed } = result.val;
    call.response.writeHead(status, {
      'content-type': contentType,
      ...reply.outcomeHeader('completed'),
      ...(replayed ? { 'x-celerydrift-replayed': 'true' } : {}),
    });
    call.response.end(body);
  }
}
