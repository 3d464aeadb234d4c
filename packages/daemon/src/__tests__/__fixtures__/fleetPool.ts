/**
 * Fleets for the tests of a suite. Starting and stopping a fleet is mostly waiting, so all fleets start concurrently
 * before the first test, and each stops in the background after its test.
 */
import * as smallFleet from './smallFleet';

type FleetsByService = Record<smallFleet.Service, Promise<smallFleet.SmallFleet>[]>;

export class FleetPool {
  private available: FleetsByService = { engines: [], plain: [] };

  private inUse: smallFleet.SmallFleet[] = [];

  private stopping: Promise<void>[] = [];

  /** Registers the hooks of a suite that needs `counts` fleets of each service. */
  constructor(counts: Record<smallFleet.Service, number>, dataCentres?: readonly string[]) {
    const startAll = (service: smallFleet.Service): Promise<smallFleet.SmallFleet>[] => {
      return Array.from({ length: counts[service] }, () =>
        smallFleet.SmallFleet.start(service, dataCentres),
      );
    };
    before(async () => {
      this.available = { engines: startAll('engines'), plain: startAll('plain') };
      await Promise.all([...this.available.engines, ...this.available.plain]);
    });
    afterEach(() => {
      this.stopping.push(...this.inUse.splice(0).map((fleet) => fleet.stop()));
    });
    after(async () => {
      const unused = await Promise.all([...this.available.engines, ...this.available.plain]);
      await Promise.all([...this.stopping, ...unused.map((fleet) => fleet.stop())]);
    });
  }

  /** Returns a fleet for the current test; it is stopped after the test. */
  async take(service: smallFleet.Service): Promise<smallFleet.SmallFleet> {
    const fleet = await (this.available[service].shift() ?? smallFleet.SmallFleet.start(service));
    this.inUse.push(fleet);
    return fleet;
  }
}
