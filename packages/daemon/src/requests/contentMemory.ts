/**
 * Contents under which engines were lost, remembered across the requests of this daemon. A prompt that crashes what runs it comes
 * again as a new request; bounded by each request alone, every copy would cost three further engines.
 */
import * as domain from '@celerydrift/domain';
import * as fingerprint from '../entry/fingerprint';
import type * as execution from './execution';

type Prompt = Pick<execution.Prompt, 'prompt' | 'tenant' | 'model'>;

/** A run that got no whole answer, as its engine was lost. */
export interface Lost {
  target: Pick<domain.target.target.Target, 'name' | 'incarnation'>;
  sentAt: number;
  /** Whether the content was suspected when it was sent. */
  isTrial: boolean;
}

export class ContentMemory {
  private readonly quarantine = new domain.quarantine.quarantine.Quarantine();

  constructor(private readonly now: () => number) {}

  standing(prompt: Prompt): domain.quarantine.quarantine.Standing {
    this.quarantine.tick(this.now());
    return this.isKnown(prompt) ? this.quarantine.standing(contentOf(prompt)) : 'free';
  }

  engineLost(prompt: Prompt, { target, sentAt, isTrial }: Lost): void {
    const lifetime = { id: target.name, bornAt: target.incarnation };
    const key = domain.quarantine.endedLifetimes.lifetimeOf(lifetime);
    this.quarantine.blame(contentOf(prompt), key, { sentAt, isTrial }, this.now());
  }

  /** An answer came whole: whatever ended beside it, it wasn't the cause. */
  ranWhole(prompt: Prompt): void {
    if (this.isKnown(prompt)) this.quarantine.ranWhole(contentOf(prompt));
  }

  /** Spares the digest of a prompt whose length no suspect has. */
  private isKnown({ prompt }: Prompt): boolean {
    return this.quarantine.size > 0 && this.quarantine.mayKnow(Buffer.byteLength(prompt));
  }
}

function contentOf({ prompt, tenant, model }: Prompt): string {
  return fingerprint.of({
    host: '',
    method: 'POST',
    path: [model.base, model.adapter, model.version].join('/'),
    organisation: `${tenant.team}/${tenant.organisation.name}`,
    body: Buffer.from(prompt),
  });
}
