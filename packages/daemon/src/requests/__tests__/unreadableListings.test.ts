/** What an engine lists of itself, where its contents can't be used. */
import * as chai from 'chai';
import { Ok } from 'ts-results';
import type * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import * as leaseLoop from '../leaseLoop';
import * as router from '../router';

const ENGINE = { name: 'e1', models: [] } as unknown as domain.target.target.Target;

describe('listings of an engine', () => {
  // Guards against an engine whose malformed answer ends the process of the daemon that polls it.
  it('do no harm if they are malformed', async () => {
    const logged: unknown[] = [];
    const output = { write: (line: string) => logged.push(JSON.parse(line)) };
    const options = {
      adapter: { holdings: async () => Ok(null), cache: async () => Ok(null) },
      observer: new observer.Observer('test', 'error', undefined, output),
      now: clock.steady,
      hash: () => 0,
      policy: {},
      dataCentre: 'dc0',
      keptEngines: () => [ENGINE],
    };
    const loop = new leaseLoop.LeaseLoop(options as unknown as leaseLoop.Options);
    const routing = new router.Router(options as unknown as router.Options);
    routing.setEngines([ENGINE]);
    const unhandled = new Set<unknown>();
    const note = (error: unknown): unknown => unhandled.add(error);
    process.on('unhandledRejection', note);
    loop.start();
    routing.start();
    while (logged.length + unhandled.size < 2) await clock.sleep(20);
    loop.stop();
    routing.stop();
    process.off('unhandledRejection', note);
    chai.expect([...unhandled].map(String)).to.deep.equal([]);
  });
});
