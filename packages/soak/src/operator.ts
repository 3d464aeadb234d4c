/**
 * The operator submits complete catalogue documents with increasing versions, and retries with any keeper until one
 * acknowledges them. Each document has a route of its own, so that a probe of that route shows which one an entry has
 * in force.
 */
import * as domain from '@celerydrift/domain';
import { control, counterpart } from '@celerydrift/platform';
import * as callers from './callers';
import * as controlClient from './controlClient';
import * as fleet from './fleet';
import * as layout from './layout';
import type * as observations from './observations';

type Catalogue = domain.catalogue.catalogue.Catalogue;
type Route = domain.catalogue.catalogue.Route;

export const REQUEST_KINDS = ['safe', 'unsafe', 'stream'] as const;
const ANSWER_POLL_MS = 50;
const RETRY_INTERVAL_MS = 100;
/** Share of acknowledged evacuation orders whose acknowledgement is treated as lost, so that they are sent again. */
const LOST_ACK_SHARE = 0.5;
/** Calls are no longer retried after this. A document that wasn't acknowledged by then may still come into force. */
const CALL_TIMEOUT_MS = 20_000;

/** Versions increase by a random step up to this. */
const MAX_VERSION_STEP = 4;

const ENGINE: domain.catalogue.catalogue.Engine = {
  slots: fleet.ENGINE_SLOTS,
  memoryTokens: fleet.ENGINE_MEMORY_TOKENS,
  stepsPerPass: 8,
  stepMs: 1,
  writerStepMs: 0.01,
  contextStepMs: 0.003,
  readTokensPerMs: 200,
  pairMsPerMillion: 0.01,
  chunkTokens: 2_048,
  hopMs: 0,
  usualAnswerTokens: 100,
};

export function basePath(kind: observations.RequestKind): string {
  return `/${kind}/call`;
}

export function probePath(version: number, label: string): string {
  return `/v${version}${label}/call`;
}

function routeOf(name: string, kind: observations.RequestKind): Route {
  const isStream = kind === 'stream';
  return {
    name,
    host: callers.HOST,
    pathPrefix: `/${name}/`,
    kind: isStream ? 'streaming' : kind,
    timeoutMs: isStream ? 6_000 : 1_500,
    objectiveMs: isStream ? 500 : 200,
    priority: 1,
    shares: [{ service: isStream ? fleet.SERVICE.engines : fleet.SERVICE.plain, weight: 1 }],
    // Also for requests that must run at most once: they are retried only if they certainly didn't run.
    maxAttempts: 3,
    isPublic: false,
    isResumable: isStream,
    pauseMs: 200,
  };
}

export class Operator {
  private version = 0;

  /** Resolves when the latest revocation is done; keys are revoked one at a time. */
  private pendingRevocation: Promise<void> = Promise.resolve();

  /** Pending while submissions are paused. */
  private submissionsResumed: Promise<void> = Promise.resolve();

  /** Generation of each organisation's key; a new generation replaces the previous one. */
  private readonly keyGenerations = Array.from({ length: layout.ORGANISATIONS }, () => 1);

  constructor(
    private readonly controlAddresses: readonly string[],
    private readonly observed: observations.Observations,
    private readonly random: domain.shared.random.Random,
  ) {}

  /** A random organisation's key that every document has contained since it was introduced. */
  currentKey(): string {
    return this.keyOf(domain.shared.random.below(this.random, layout.ORGANISATIONS));
  }

  /** The last documents that were submitted, newest first. */
  recentDocuments(): observations.SubmittedDocument[] {
    return this.observed.sent.slice(-3).reverse();
  }

  async submitNext(): Promise<void> {
    this.advanceVersion();
    await this.submit(this.catalogue(this.version, ''), '');
  }

  /** Submits two documents concurrently, with the same version or with two. */
  async submitConcurrently(isSameVersion: boolean): Promise<void> {
    this.advanceVersion();
    const first = this.catalogue(this.version, 'a');
    if (!isSameVersion) this.advanceVersion();
    const second = this.catalogue(this.version, 'b');
    await Promise.all([this.submit(first, 'a'), this.submit(second, 'b')]);
  }

  /** Replaces an organisation's key; resolves with the revoked one, or undefined if no keeper acknowledged that. */
  revokeKey(index: number): Promise<observations.RevokedKey | undefined> {
    const replaced = this.pendingRevocation.then(() =>
      this.replaceKey(index % layout.ORGANISATIONS),
    );
    this.pendingRevocation = replaced.then(() => undefined);
    return replaced;
  }

  private async replaceKey(organisation: number): Promise<observations.RevokedKey | undefined> {
    const key = this.keyOf(organisation);
    // Both keys are valid for a while, so that the new one is in force before callers use it.
    this.advanceVersion();
    const keys = [key, `${key}+`];
    await this.submit(this.catalogue(this.version, '', new Map([[organisation, keys]])), '');
    this.keyGenerations[organisation] += 1;
    this.advanceVersion();
    const newKeyOnly = this.catalogue(this.version, '', new Map([[organisation, [`${key}+`]]]));
    const { ackedAt } = await this.submit(newKeyOnly, '');
    if (ackedAt === undefined) return undefined;
    const revoked = { key, ackedAt };
    this.observed.revoked.push(revoked);
    return revoked;
  }

  /** Submits an invalid document, which no keeper may acknowledge. */
  async submitInvalid(): Promise<void> {
    const valid = this.catalogue(this.version + 1, 'invalid');
    const routes = [...valid.routes, routeOf('safe', 'safe')];
    const { status } = await controlClient.call(
      this.pickKeeper(),
      counterpart.submit({ ...valid, routes }),
    );
    if (status === 200) throw new Error('an invalid document was acknowledged');
  }

  /** Evacuates a data centre, or ends that; resolves with false if no keeper acknowledged it in time. */
  async orderEvacuation(dataCentre: string, order: 'start' | 'end'): Promise<boolean> {
    const call =
      order === 'start' ? counterpart.evacuate(dataCentre) : counterpart.endEvacuation(dataCentre);
    let isAckLost = this.random.uniform() < LOST_ACK_SHARE;
    const until = Date.now() + CALL_TIMEOUT_MS;
    while (Date.now() < until) {
      const { status } = await controlClient.call(this.pickKeeper(), call);
      if (status === 200 && !isAckLost) return true;
      if (status === 200) isAckLost = false;
      else await sleep(RETRY_INTERVAL_MS);
    }
    return false;
  }

  /** Lists the evacuated data centres; undefined if no keeper answers in time. */
  async listEvacuated(): Promise<string[] | undefined> {
    const until = Date.now() + CALL_TIMEOUT_MS;
    while (Date.now() < until) {
      const call = counterpart.listEvacuations();
      const { status, body } = await controlClient.call(this.pickKeeper(), call);
      if (status === 200) return counterpart.parseEvacuations(body);
      await sleep(RETRY_INTERVAL_MS);
    }
    return undefined;
  }

  /** Resolves when a keeper that was started answers calls, or after the time limit of a call. */
  async untilAnswers(index: number): Promise<void> {
    const until = Date.now() + CALL_TIMEOUT_MS;
    while (Date.now() < until) {
      const { status } = await controlClient.call(this.controlAddresses[index], counterpart.read());
      if (status > 0) return;
      await sleep(ANSWER_POLL_MS);
    }
  }

  /** Reads back the newest document; undefined if no keeper answers in time. */
  async readNewest(): Promise<observations.Observations['readBack']> {
    const until = Date.now() + CALL_TIMEOUT_MS;
    while (Date.now() < until) {
      const { status, body } = await controlClient.call(this.pickKeeper(), counterpart.read());
      if (status === 200) return identityOf(body);
      await sleep(RETRY_INTERVAL_MS);
    }
    return undefined;
  }

  /** Pauses submissions while `act` runs; calls that are already in progress complete. */
  async withSubmissionsPaused<T>(act: () => Promise<T>): Promise<T> {
    let resume = (): void => undefined;
    this.submissionsResumed = new Promise((resolve) => {
      resume = resolve;
    });
    try {
      return await act();
    } finally {
      resume();
    }
  }

  private advanceVersion(): void {
    this.version += 1 + domain.shared.random.below(this.random, MAX_VERSION_STEP);
  }

  private keyOf(organisation: number): string {
    return `k${organisation}${'+'.repeat(this.keyGenerations[organisation] - 1)}`;
  }

  private catalogue(
    version: number,
    label: string,
    keys: ReadonlyMap<number, string[]> = new Map(),
  ): Catalogue {
    return {
      version,
      routes: [
        ...REQUEST_KINDS.map((kind) => routeOf(kind, kind)),
        routeOf(`v${version}${label}`, 'safe'),
      ],
      services: [
        { name: fleet.SERVICE.engines, healthPath: '/', maxConnections: 200, engine: ENGINE },
        { name: fleet.SERVICE.plain, healthPath: '/', maxConnections: 200, engine: undefined },
      ],
      organisations: this.keyGenerations.map((_, i) => {
        return { name: `o${i}`, keys: keys.get(i) ?? [this.keyOf(i)], priority: 1 };
      }),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    };
  }

  private async submit(
    catalogue: Catalogue,
    label: string,
  ): Promise<observations.SubmittedDocument> {
    const document: observations.SubmittedDocument = {
      version: catalogue.version,
      label,
      keys: (catalogue.organisations ?? []).flatMap(({ keys }) => keys),
      sentAt: Date.now(),
      ackedAt: undefined,
    };
    this.observed.sent.push(document);
    const call = counterpart.submit(catalogue);
    const until = Date.now() + CALL_TIMEOUT_MS;
    while (Date.now() < until) {
      await this.submissionsResumed;
      const { status } = await controlClient.call(this.pickKeeper(), call);
      if (status === 200) {
        document.ackedAt = Date.now();
        return document;
      }
      await sleep(RETRY_INTERVAL_MS);
    }
    return document;
  }

  private pickKeeper(): string {
    return domain.shared.random.pick(this.random, this.controlAddresses);
  }
}

/** The version and label that a document's probe route contains. */
function identityOf(body: string): { version: number; label: string } | undefined {
  const decoded = new control.Control().parseCatalogue(Buffer.from(body));
  if (decoded.err) return undefined;
  const { version, routes } = decoded.val;
  const probe = routes.find(({ name }) => name.startsWith(`v${version}`));
  return probe && { version, label: probe.name.slice(`v${version}`.length) };
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
