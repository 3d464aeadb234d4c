/**
 * Fleets for the tests of a suite. Most of a start and a stop is waiting, so all start together before the first test, and each stops in
 * the background once its test is over.
 */
import * as smallFleet from './smallFleet';

type FleetsByService = Record<smallFleet.Service, Promise<smallFleet.SmallFleet>[]>;

export class FleetPool {
  private available: FleetsByService = { engines: [], plain: [] };

  private inUse: smallFleet.SmallFleet[] = [];

  private stopping: Promise<void>[] = [];

  /** Hooks of a suite that takes so many fleets of each service. */
  constructor(counts: Record<smallFleet.Service, number>) {
    const startAll = (service: smallFleet.Service): Promise<smallFleet.SmallFleet>[] => {
      return Array.from({ length: counts[service] }, () => smallFleet.SmallFleet.start(service));
    };
    before(async () => {
      this.available = { engines: startAll('engines'), plain: startAll('plain') };
      await Promise.all([...this.available.engines, ...this.available.plain]);
    });
    afterEach(() => {
      this.stopping.push(...this.inUse.splice(0).map((fleet) => fleet.stop()));
    });
    after(async () => {
      const left = await Promise.all([...this.available.engines, ...this.available.plain]);
      await Promise.all([...this.stopping, ...left.map((fleet) => fleet.stop())]);
    });
  }

  /** A fleet for the test that runs, stopped after it. */
  async take(service: smallFleet.Service): Promise<smallFleet.SmallFleet> {
    const fleet = await (this.available[service].shift() ?? smallFleet.SmallFleet.start(service));
    this.inUse.push(fleet);
    return fleet;
  }
}
