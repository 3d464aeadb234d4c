/**
 * Quarantines prompts that crash engines, across the requests of this daemon. Callers resend such a prompt as
 * a new request; with only the retry limit of each request, every resend would crash three more engines.
 */
import * as domain from '@celerydrift/domain';
import * as fingerprint from '../entry/fingerprint';

/** What a prompt that crashes engines is recognised by. */
export interface Prompt {
  prompt: string;
  tenant: domain.settings.directory.Tenant;
  model: domain.settings.document.Model;
}

/** An attempt without a complete answer because its engine was lost. */
export interface EngineLoss {
  target: Pick<domain.target.target.Target, 'name' | 'incarnation'>;
  sentAt: number;
  /** Whether the prompt was already suspected when it was sent, so that this was its canary run. */
  isTrial: boolean;
}

export class PromptQuarantine {
  private readonly quarantine = new domain.quarantine.quarantine.Quarantine();

  constructor(private readonly now: () => number) {}

  status(prompt: Prompt): domain.quarantine.quarantine.QuarantineStatus {
    this.quarantine.tick(this.now());
    return this.mayBeSuspect(prompt) ? this.quarantine.standing(fingerprintOf(prompt)) : 'free';
  }

  reportEngineLoss(prompt: Prompt, { target, sentAt, isTrial }: EngineLoss): void {
    const lifetime = { id: target.name, bornAt: target.incarnation };
    const key = domain.quarantine.crashedLifetimes.lifetimeKey(lifetime);
    this.quarantine.reportCrash(fingerprintOf(prompt), key, { sentAt, isTrial }, this.now());
  }

  /** Clears the suspicion after a complete answer: the prompt wasn't the cause of the losses. */
  clearSuspicion(prompt: Prompt): void {
    if (this.mayBeSuspect(prompt)) this.quarantine.completed(fingerprintOf(prompt));
  }

  /** Filters by length, so that the digest is computed only for prompts as long as some suspect. */
  private mayBeSuspect({ prompt }: Prompt): boolean {
    return this.quarantine.size > 0 && this.quarantine.mayHaveSuspect(Buffer.byteLength(prompt));
  }
}

function fingerprintOf({ prompt, tenant, model }: Prompt): string {
  return fingerprint.of({
    host: '',
    method: 'POST',
    path: [model.base, model.adapter, model.version].join('/'),
    organisation: `${tenant.team}/${tenant.organisation.name}`,
    body: Buffer.from(prompt),
  });
}
