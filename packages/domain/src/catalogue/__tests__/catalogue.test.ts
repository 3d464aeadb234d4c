/** Catalogues: validation, route lookup and the order of versions. */
import * as chai from 'chai';
import * as random from '../../shared/random';
import * as catalogue from '../catalogue';
import * as directory from '../directory';
import * as newestCatalogue from '../newestCatalogue';

const { expect } = chai;

function route(name: string, more: Partial<catalogue.Route> = {}): catalogue.Route {
  return {
    name,
    host: 'a.example',
    pathPrefix: `/${name}/`,
    kind: 'safe',
    timeoutMs: 1_000,
    objectiveMs: 100,
    priority: 1,
    shares: [{ service: 'app', weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
    pauseMs: 1_000,
    ...more,
  };
}

function catalogueWith(more: Partial<catalogue.Catalogue> = {}): catalogue.Catalogue {
  return {
    version: 1,
    routes: [route('a')],
    services: [{ name: 'app', healthPath: '/health', maxConnections: 8, engine: undefined }],
    organisations: [{ name: 'north', keys: ['k1', 'k2'], priority: 1 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    ...more,
  };
}

describe('catalogue', () => {
  it('reports everything that prevents its activation', () => {
    const problems = catalogue.problemsOf(
      catalogueWith({
        routes: [
          route('unknown', { shares: [{ service: 'none', weight: 1 }] }),
          route('empty', { shares: [] }),
          route('weightless', { shares: [{ service: 'app', weight: 0 }] }),
          route('timeless', { timeoutMs: 0 }),
          route('one', { pathPrefix: '/same/' }),
          route('two', { pathPrefix: '/same/' }),
        ],
        organisations: [
          { name: 'north', keys: ['k1', 'k1'], priority: 1 },
          { name: 'south', keys: ['k1'], priority: 1 },
        ],
      }),
    );
    expect(problems).toMatchSnapshot();
  });

  // Guards against a route that takes the requests of another one, as its host is written in another way.
  it('reports two routes of one place whose hosts are written in different ways', () => {
    const same = { pathPrefix: '/same/' };
    const routes = [route('one', { ...same, host: 'A.Example' }), route('two', same)];
    expect(catalogue.problemsOf(catalogueWith({ routes }))).to.deep.equal([
      { fault: 'samePlace', subject: 'two' },
    ]);
  });

  it('finds the longest prefix of a host, ignoring its case and port', () => {
    const routes = [route('short', { pathPrefix: '/x/' }), route('long', { pathPrefix: '/x/y/' })];
    const found = new directory.Directory(catalogueWith({ routes }));
    expect(found.route('A.example:80', '/x/y/1')?.name).to.equal('long');
    expect(found.route('a.example', '/x/z')?.name).to.equal('short');
    expect(found.route('b.example', '/x/y/1')).to.equal(undefined);
    expect(found.organisation('k2')?.name).to.equal('north');
  });

  /** Guards against urgency classes in services whose requests are all of one class. */
  it('gives the urgency of an organisation, or else of the route, where requests of a service differ', () => {
    const organisations = [0, 2].map((priority) => ({ name: `o${priority}`, keys: [], priority }));
    const [alike, ofOrganisations, ofRoutes] = [
      catalogueWith({ routes: [route('a'), route('b', { priority: 5 })] }),
      catalogueWith({ organisations }),
      catalogueWith({
        organisations: undefined,
        routes: [route('a'), route('b', { priority: 5 })],
      }),
    ].map((each) => new directory.Directory(each));
    expect(alike.urgency('app', { priority: 5 })).to.equal(undefined);
    expect(ofOrganisations.urgency('app', organisations[0])).to.equal(0);
    expect(ofRoutes.urgency('app', { priority: 5 })).to.equal(5);
  });

  it('splits a route by weight', () => {
    const split = route('split', {
      shares: [
        { service: 'app', weight: 90 },
        { service: 'other', weight: 10 },
      ],
    });
    const source = random.seeded(3);
    const picks = Array.from({ length: 1_000 }, () => directory.pickService(split, source));
    expect(picks.filter((name) => name === 'other').length).to.be.within(60, 140);
  });

  /*
   * Guards against settings that revert: two operators send versions 7 and 9 at the same time, and
   * 7, whose answer was lost, is resent after 9 is active.
   */
  it('keeps the highest version in any order of arrival', () => {
    const tested = new newestCatalogue.NewestCatalogue();
    const packedCatalogue = (version: number, byte = version): newestCatalogue.PackedCatalogue => {
      return { version, packed: Uint8Array.of(byte) };
    };
    tested.apply(packedCatalogue(9));
    expect(tested.apply(packedCatalogue(7))).to.deep.equal({ version: 9, changed: false });
    expect(tested.apply(packedCatalogue(9, 1))).to.deep.equal({ version: 9, changed: false });
    expect(tested.newest).to.deep.equal(packedCatalogue(9));
  });
});
