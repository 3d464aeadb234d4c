/** The replicated catalogue as a machine of the log. */
import * as domain from '@celerydrift/domain';
import type * as machine from '../replicas/machine';

type Edition = domain.catalogue.versions.Edition;

export class CatalogueMachine implements machine.Machine {
  readonly versions = new domain.catalogue.versions.Versions();

  constructor(private readonly onChange: (edition: Edition) => void) {}

  apply(command: unknown): domain.catalogue.versions.Acceptance {
    const edition = command as Edition;
    const acceptance = this.versions.apply(edition);
    if (acceptance.changed) this.onChange(edition);
    return acceptance;
  }

  snapshot(): unknown {
    return this.versions.newest;
  }

  restore(state: unknown): void {
    const edition = state as Edition | undefined | null;
    if (edition === undefined || edition === null) return;
    this.versions.restore(edition);
    this.onChange(edition);
  }
}
