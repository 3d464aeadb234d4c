/** Precomputed lookups in one catalogue: the route of a request, the organisation of a key. */
import * as random from '../shared/random';
import type * as catalogue from './catalogue';

export class Directory {
  private readonly byHost = new Map<string, catalogue.Route[]>();

  private readonly byKey = new Map<string, catalogue.Organisation>();

  private readonly services: Map<string, catalogue.Service>;

  constructor(readonly catalogue: catalogue.Catalogue) {
    this.services = new Map(catalogue.services.map((service) => [service.name, service]));
    catalogue.routes.forEach((route) => {
      const host = route.host.toLowerCase();
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
    const name = host.replace(/:\d+$/, '').toLowerCase();
    return this.byHost.get(name)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  get needsKeys(): boolean {
    return this.catalogue.organisations !== undefined;
  }

  organisation(key: string): catalogue.Organisation | undefined {
    return this.byKey.get(key);
  }

  service(name: string): catalogue.Service | undefined {
    return this.services.get(name);
  }
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
