/** Log lines about announcements that can't be used, in virtual time. */
import * as chai from 'chai';
import * as ignoredAnnouncements from '../ignoredAnnouncements';

const { expect } = chai;

describe('announcements that are ignored', () => {
  let now = 0;
  let lines: Record<string, unknown>[] = [];
  let count = 0;
  let tested: ignoredAnnouncements.IgnoredAnnouncements;

  beforeEach(() => {
    now = 0;
    lines = [];
    count = 0;
    tested = new ignoredAnnouncements.IgnoredAnnouncements({
      observer: {
        log: (_event, fields = {}) => lines.push(fields),
        count: () => {
          count += 1;
        },
      },
      now: () => now,
    });
  });

  /** Guards against a log that one program fills within minutes, and against others that go unnoticed meanwhile. */
  it('get a few lines a second for each writer, and are all counted', () => {
    for (now = 0; now < 10_000; now += 10) tested.report({ writer: 'a', target: 't', reason: 'r' });
    tested.report({ writer: 'b', target: 'u', reason: 'r' });
    const ofA = lines.filter(({ writer }) => writer === 'a');
    expect([count, lines.length - ofA.length]).to.deep.equal([1_001, 1]);
    expect(ofA.length).to.be.within(45, 55);
    const omitted = lines.reduce((sum, line) => sum + Number(line.omitted), 0);
    expect(omitted + lines.length).to.equal(count);
  });

  /** Guards against a writer that evades its limit by a new name for each announcement. */
  it('get a limited number of lines, however many writers there are', () => {
    for (let i = 0; i < 10_000; i++) tested.report({ writer: `${i}`, target: 't', reason: 'r' });
    expect(lines.length).to.be.within(5, 20);
  });

  /** Guards against a line as long as the announcement itself, which may have megabytes. */
  it('get short lines', () => {
    const long = 'x'.repeat(1_000_000);
    tested.report({ writer: long, target: long, reason: long });
    expect(JSON.stringify(lines).length).to.be.below(600);
  });
});
