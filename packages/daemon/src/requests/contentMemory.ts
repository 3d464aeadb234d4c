/**
 * Contents under which engines were lost, remembered across the requests of this daemon. A prompt that crashes what runs it comes
 * again as a new request; bounded by each request alone, every copy would cost three further engines.
 */
import * as domain from '@celerydrift/domain';
import * as fingerprint from '../entry/fingerprint';
import type * as execution from './execution';

type Prompt = Pick<execution.ModelRequest, 'prompt' | 'tenant' | 'model'>;

/** A run that got no whole answer, as its engine was lost. */
export interface EngineLoss {
  target: Pick<domain.target.target.Target, 'name' | 'incarnation'>;
  sentAt: number;
  /** Whether the content was suspected when it was sent. */
  isTrial: boolean;
}

export class ContentMemory {
  private readonly quarantine = new domain.quarantine.quarantine.Quarantine();

  constructor(private readonly now: () => number) {}

  status(prompt: Prompt): domain.quarantine.quarantine.Standing {
    this.quarantine.tick(this.now());
    return this.mayBeSuspect(prompt) ? this.quarantine.standing(fingerprintOf(prompt)) : 'free';
  }

  reportEngineLoss(prompt: Prompt, { target, sentAt, isTrial }: EngineLoss): void {
    const lifetime = { id: target.name, bornAt: target.incarnation };
    const key = domain.quarantine.endedLifetimes.lifetimeOf(lifetime);
    this.quarantine.blame(fingerprintOf(prompt), key, { sentAt, isTrial }, this.now());
  }

  /** An answer came whole: whatever ended beside it, it wasn't the cause. */
  clearSuspicion(prompt: Prompt): void {
    if (this.mayBeSuspect(prompt)) this.quarantine.ranWhole(fingerprintOf(prompt));
  }

  /** Spares the digest of a prompt whose length no suspect has. */
  private mayBeSuspect({ prompt }: Prompt): boolean {
    return this.quarantine.size > 0 && this.quarantine.mayKnow(Buffer.byteLength(prompt));
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
