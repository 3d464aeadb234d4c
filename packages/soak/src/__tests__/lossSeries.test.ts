/** The series of keeper losses that seeds draw. */
import * as chai from 'chai';
import * as lossSeries from '../lossSeries';

const { expect } = chai;

const SERIES = Array.from({ length: 200 }, (_, seed) => lossSeries.draw(seed)).flatMap(
  (series) => series ?? [],
);

describe('series of keeper losses', () => {
  // Guards against plans that take more keepers at once than the fleet tolerates, which prove nothing.
  it('loses two keepers at most before the first one no longer counts as lost', () => {
    SERIES.forEach(({ losses, hasAbsentKeeper }) => {
      const early = losses.filter(({ awaitsFirst }) => !awaitsFirst);
      expect(early.length + (hasAbsentKeeper ? 1 : 0)).to.be.at.most(2);
    });
  });

  it('is drawn in most seeds, in both forms', () => {
    expect(SERIES.length).to.be.within(80, 160);
    expect(new Set(SERIES.map(({ hasAbsentKeeper }) => hasAbsentKeeper)).size).to.equal(2);
  });
});
