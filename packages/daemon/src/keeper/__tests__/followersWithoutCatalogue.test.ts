/** How a leader tells followers without a catalogue from those with version 0. */
import * as chai from 'chai';
import * as messages from '../../fleet/messages';
import * as leaderFixture from './__fixtures__/leaderFixture';

const { expect } = chai;

const FIRST = { version: 0, packed: new Uint8Array([1]) };

async function versionSentTo(statement: messages.CatalogueStatement): Promise<number | undefined> {
  const setup = { followers: 0, answerMs: 0, newestCatalogue: FIRST };
  const { leader } = await leaderFixture.leaderWithFollowers(setup);
  const request = { ...leaderFixture.followRequest(0), ...statement };
  return (await leader.follow(request))?.news.edition?.version;
}

describe('leader: followers without a catalogue', () => {
  // Guards against followers that never get a first catalogue of version 0, or get it with each poll.
  it('are sent version 0, also those of an earlier version, until they have it', async () => {
    expect(await versionSentTo(messages.catalogueStatementOf(undefined))).to.equal(0);
    expect(await versionSentTo({ version: 0 })).to.equal(0);
    expect(await versionSentTo(messages.catalogueStatementOf(0))).to.equal(undefined);
    expect(await versionSentTo({ version: 1 })).to.equal(undefined);
  });
});
