import * as chai from 'chai';
import * as observer from '../../observability/observer';
import * as evacuationOrders from '../evacuationOrders';

const { expect } = chai;

type Dependencies = evacuationOrders.Dependencies;

function ordersWith(changes: Partial<Dependencies>): {
  handle: (dataCentre?: string, kind?: 'endEvacuation') => Promise<evacuationOrders.OrderResult>;
  submitted: unknown[];
} {
  const submitted: unknown[] = [];
  const orders = new evacuationOrders.EvacuationOrders({
    isEnabled: true,
    dataCentres: ['west', 'east'],
    announcedDataCentres: () => ['north', 'north'],
    isEvacuated: () => false,
    submit: async (command) => {
      submitted.push(command);
      return { kind: 'accepted', revision: 5 };
    },
    observer: new observer.Observer('test', 'fatal', undefined),
    timeOfDay: () => 77,
    ...changes,
  });
  return {
    submitted,
    handle: (dataCentre, kind) =>
      orders.handle({
        kind: kind ?? 'evacuate',
        dataCentre,
        requestedBy: '10.0.0.1',
        isGivenUp: () => false,
      }),
  };
}

describe('EvacuationOrders', () => {
  // Guards against an evacuation in a fleet that has the part turned off.
  it('takes no order while the part is off', async () => {
    const { handle, submitted } = ordersWith({ isEnabled: false });
    expect([await handle('east'), submitted]).to.deep.equal([{ kind: 'disabled' }, []]);
  });

  // Guards against a mistyped name that is acknowledged while its data centre is still used.
  it('refuses malformed and unknown names', async () => {
    const { handle, submitted } = ordersWith({});
    for (const name of [undefined, '', 'East', 'a/b', 'x'.repeat(64)]) {
      expect(await handle(name)).to.deep.equal({ kind: 'malformed' });
    }
    expect(await handle('north')).to.deep.equal({ kind: 'unknown', known: ['east', 'west'] });
    expect(submitted).to.deep.equal([]);
  });

  // Guards against a data centre that can't be evacuated because nobody listed it in the settings.
  it('knows the announced data centres where none are listed', async () => {
    const { handle } = ordersWith({ dataCentres: [] });
    expect(await handle('east')).to.deep.equal({ kind: 'unknown', known: ['north'] });
    expect(await handle('north')).to.deep.equal({ kind: 'accepted', revision: 5 });
  });

  // Guards against an end that is sent again, as its acknowledgement was lost, and refused for want of targets there.
  it('ends an evacuation again where the last target of its data centre is gone', async () => {
    const { handle } = ordersWith({ dataCentres: [] });
    expect((await handle('east', 'endEvacuation')).kind).to.equal('accepted');
    const listed = ordersWith({});
    expect((await listed.handle('north', 'endEvacuation')).kind).to.equal('unknown');
  });

  // Guards against an evacuation that can't be ended because its data centre has been removed from the settings.
  it('ends an evacuation of a data centre that is no longer listed', async () => {
    const { handle, submitted } = ordersWith({
      isEvacuated: (dataCentre) => dataCentre === 'gone',
    });
    await handle('gone', 'endEvacuation');
    await handle('east');
    const evacuation = { dataCentre: 'east', startedAt: 77, requestedBy: '10.0.0.1' };
    expect(submitted).to.deep.equal([
      { kind: 'endEvacuation', dataCentre: 'gone' },
      { kind: 'evacuate', evacuation },
    ]);
  });
});
