/** Precomputed lookups in one catalogue: the route of a request, the organisation of a key. */
import * as random from '../shared/random';
import type * as catalogue from './catalogue';
import * as hosts from './hosts';

export class Directory {
  private readonly byHost = new Map<string, catalogue.Route[]>();

  private readonly byKey = new Map<string, catalogue.Organisation>();

  private readonly services: Map<string, catalogue.Service>;

  /** Services whose requests differ in priority. */
  private readonly servicesWithClasses: ReadonlySet<string>;

  constructor(readonly catalogue: catalogue.Catalogue) {
    this.services = new Map(catalogue.services.map((service) => [service.name, service]));
    this.servicesWithClasses = new Set(
      catalogue.services.map(({ name }) => name).filter((name) => hasClasses(catalogue, name)),
    );
    catalogue.routes.forEach((route) => {
      const host = hosts.canonicalName(route.host);
      this.byHost.set(host, [...(this.byHost.get(host) ?? []), route]);
    });
    this.byHost.forEach((routes) => {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    });
    catalogue.organisations?.forEach((organisation) => {
      organisation.keys.forEach((key) => this.byKey.set(key, organisation));
    });
  }

  get version(): number {
    return this.catalogue.version;
  }

  /** The route with the longest prefix of the path. A port in `host` is ignored. */
  route(host: string, path: string): catalogue.Route | undefined {
    const name = hosts.canonicalName(host.replace(/:\d+$/, ''));
    return this.byHost.get(name)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  get needsKeys(): boolean {
    return this.catalogue.organisations !== undefined;
  }

  organisation(key: string): catalogue.Organisation | undefined {
    return this.byKey.get(key);
  }

  /**
   * Urgency class of a request to a service, from its organisation or, without one, its route; undefined where all
   * requests of the service are of one class.
   */
  urgency(service: string, { priority }: { priority: number }): number | undefined {
    return this.servicesWithClasses.has(service) ? priority : undefined;
  }

  service(name: string): catalogue.Service | undefined {
    return this.services.get(name);
  }
}

/** Whether the requests of a service differ in priority; that of an organisation takes precedence over its route's. */
function hasClasses({ routes, organisations }: catalogue.Catalogue, service: string): boolean {
  const leading = routes.filter(({ shares }) => shares.some((each) => each.service === service));
  const priorities = leading.flatMap((route) => {
    return organisations === undefined || route.isPublic
      ? [route.priority]
      : organisations.map(({ priority }) => priority);
  });
  return new Set(priorities).size > 1;
}

/** Picks one of a route's services by weight. */
export function pickService(route: catalogue.Route, source: random.Random): string {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = source.uniform() * total;
  const picked = route.shares.find(({ weight }) => {
    remainingWeight -= weight;
    return remainingWeight < 0;
  });
  return (picked ?? route.shares[route.shares.length - 1]).service;
}
