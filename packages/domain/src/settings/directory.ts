/**
 * Lookups in the active settings: the organisation of a key, the model or service of a name.
 * Rebuilt from the subtrees when one changes, and read-only after that.
 */
import * as Option from 'fp-ts/Option';
import * as document from './document';
import * as tree from './tree';

export interface Tenant {
  team: string;
  organisation: document.Organisation;
}

function isAllowed(organisations: readonly string[], name: string): boolean {
  return organisations.includes('*') || organisations.includes(name);
}

/** Looks up callers, models, services and operators in one consistent set of subtrees. */
export class Directory {
  private readonly tenants = new Map<string, Tenant>();

  private readonly documents = new Map<string, document.Document>();

  private readonly revisions = new Map<string, number>();

  /**
   * Reuses the documents of `previous` for unchanged subtrees, as parsing hundreds of subtrees
   * takes a while.
   */
  constructor(subtrees: readonly tree.Subtree[], previous?: Directory) {
    subtrees.forEach(({ name, index, text }) => {
      this.revisions.set(name, index);
      const isUnchanged = previous?.revisions.get(name) === index;
      const reusable = isUnchanged ? previous?.documents.get(name) : undefined;
      const content = reusable ?? document.parse(text).unwrapOr(undefined);
      if (content !== undefined) this.add(name, content);
    });
  }

  /** The organisation whose bearer key has this SHA-256. */
  tenant(keyHash: string): Option.Option<Tenant> {
    return Option.fromNullable(this.tenants.get(keyHash));
  }

  model(tenant: Tenant, name: string): Option.Option<document.Model> {
    const models = this.documents.get(tenant.team)?.models ?? [];
    const found = models.find((model) => model.name === name);
    const isOpen = found !== undefined && isAllowed(found.organisations, tenant.organisation.name);
    return isOpen ? Option.some(found) : Option.none;
  }

  models(tenant: Tenant): document.Model[] {
    const models = this.documents.get(tenant.team)?.models ?? [];
    return models.filter(({ organisations }) => isAllowed(organisations, tenant.organisation.name));
  }

  service(tenant: Tenant, name: string): Option.Option<document.Service> {
    const services = this.documents.get(tenant.team)?.services ?? [];
    const found = services.find((service) => service.name === name);
    const isOpen = found !== undefined && isAllowed(found.organisations, tenant.organisation.name);
    return isOpen ? Option.some(found) : Option.none;
  }

  /** The operator of `team` whose token has this SHA-256. */
  operator(team: string, tokenHash: string): Option.Option<document.Operator> {
    const operators = this.documents.get(team)?.operators ?? [];
    return Option.fromNullable(operators.find((operator) => operator.tokenHash === tokenHash));
  }

  /** The teams that have an operator with this token hash. */
  teamsOf(tokenHash: string): string[] {
    const teams = [...this.documents.keys()];
    return teams.filter((team) => Option.isSome(this.operator(team, tokenHash)));
  }

  /** All models that any team serves. */
  servedModels(): document.Model[] {
    return [...this.documents.values()].flatMap(({ models }) => models);
  }

  organisations(): Tenant[] {
    return [...this.tenants.values()];
  }

  private add(team: string, content: document.Document): void {
    this.documents.set(team, content);
    content.organisations.forEach((organisation) => {
      organisation.keyHashes.forEach((hash) => this.tenants.set(hash, { team, organisation }));
    });
  }
}
