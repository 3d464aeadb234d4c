/** The explorer finds the shortest story; models find nothing in the domain's code, and each broken version of a rule. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as explorer from '../explorer';
import * as models from '../models';

const { expect } = chai;

type Quarantine = domain.quarantine.quarantine.Quarantine;
type Registry = domain.registry.registry.Registry;

/** Counts up by one or three; seven is wrong. */
const COUNTER: explorer.Model<{ sum: number }, number> = {
  initialState: () => ({ sum: 0 }),
  enabledEvents: () => [1, 3],
  apply: (state, by) => {
    state.sum += by;
  },
  fingerprint: ({ sum }) => String(sum),
  findViolation: (replay) => (replay().sum === 7 ? 'seven' : undefined),
  describe: (by) => `+${by}`,
};

describe('explorer', () => {
  it('finds a shortest story, and counts states that differ once', () => {
    expect(explorer.explore(COUNTER, 2)).to.deep.equal({ states: 6, steps: 6, finding: undefined });
    expect(explorer.explore(COUNTER, 3).finding).to.deep.equal({
      problem: 'seven',
      story: ['+1', '+3', '+3'],
    });
  });

  it('shortens what it draws', () => {
    const eleven = {
      ...COUNTER,
      findViolation: (replay: () => { sum: number }) => {
        return replay().sum >= 11 ? 'eleven or more' : undefined;
      },
    };
    const { finding } = explorer.walk(eleven, { seed: 1, count: 20, length: 12 });
    expect(finding?.problem).to.equal('eleven or more');
    expect(finding?.story.length).to.be.below(12);
  });
});

/** A quarantine with some of its rules replaced. */
function newBrokenQuarantine(rules: object): Quarantine {
  return Object.assign(new domain.quarantine.quarantine.Quarantine(), rules);
}

/** The parts of a suspect that these versions look at. */
interface Suspect {
  endings: { lifetime: string; at: number; isTrial: boolean }[];
  quarantinedAt: number | undefined;
  doubts: number;
}

function wasQuarantined(this: { suspects: Map<string, Suspect> }, content: string): boolean {
  const suspect = this.suspects.get(content);
  return suspect !== undefined && (suspect.quarantinedAt !== undefined || suspect.doubts > 0);
}

function hasTwoCounted(this: { suspects: Map<string, Suspect> }, content: string): boolean {
  const suspect = this.suspects.get(content);
  if (suspect === undefined) return false;
  return wasQuarantined.call(this, content) || domain.quarantine.suspect.countOf(suspect) >= 2;
}

function doubtfulAfterTwoSeconds({ quarantinedAt }: Suspect, now: number): 'doubtful' | undefined {
  return quarantinedAt !== undefined && now - quarantinedAt >= 2_000 ? 'doubtful' : undefined;
}

function quarantineModel(
  newQuarantine: () => Quarantine,
  areSuspectsIsolated: boolean,
): explorer.Model<models.quarantineModel.State, models.quarantineModel.Event> {
  return models.quarantineModel.quarantineModel({
    culprits: 1,
    innocents: 1,
    areSuspectsIsolated,
    newQuarantine,
  });
}

describe('quarantine, checked', () => {
  [true, false].forEach((areSuspectsIsolated) => {
    const where = areSuspectsIsolated ? 'under a leader' : 'without a leader';
    it(`serves what is innocent and stops what is not, in all orders of five events ${where}`, () => {
      const newQuarantine = (): Quarantine => new domain.quarantine.quarantine.Quarantine();
      const { finding, ...counts } = explorer.explore(
        quarantineModel(newQuarantine, areSuspectsIsolated),
        5,
      );
      expect(finding).to.equal(undefined);
      expect(counts).toMatchSnapshot();
    });
  });

  const versions: [string, object][] = [
    ['nothing is ever in doubt', { isDoubtful: () => false }],
    ['only what was convicted explains ends', { mayBeCulprit: wasQuarantined }],
    ['only counted ends make a possible culprit', { mayBeCulprit: hasTwoCounted }],
    ['nothing of a doubted content goes on explaining', { noteExplained: () => undefined }],
    ['doubt returns every two seconds', { dueReason: doubtfulAfterTwoSeconds }],
    ['nothing is ever refused', { standing: () => 'suspected' }],
  ];

  versions.forEach(([what, rules]) => {
    it(`finds the version in which ${what}`, () => {
      const findings = [true, false].map((areSuspectsIsolated) => {
        const model = quarantineModel(() => newBrokenQuarantine(rules), areSuspectsIsolated);
        return explorer.explore(model, 5).finding;
      });
      expect(findings).toMatchSnapshot();
      expect(findings.some((finding) => finding !== undefined)).to.equal(true);
    });
  });
});

function newRegistry(): Registry {
  return new domain.registry.registry.Registry();
}

/** A registry whose methods are replaced by what `change` makes of it. */
function newBrokenRegistry(change: (registry: Registry) => object): Registry {
  const registry = newRegistry();
  return Object.assign(registry, change(registry));
}

describe('registry, checked', () => {
  it('has one lifetime at an address, the living one once it speaks, in all orders of six events', () => {
    const { finding, ...counts } = explorer.explore(
      models.registryModel.registryModel(newRegistry),
      6,
    );
    expect(finding).to.equal(undefined);
    expect(counts).toMatchSnapshot();
  });

  const versions: [string, (registry: Registry) => object][] = [
    [
      'a leader counts no more than others',
      (registry) => ({ follow: registry.merge.bind(registry) }),
    ],
    [
      'it does not matter which lifetime leaves',
      (registry) => {
        const depart = registry.depart.bind(registry);
        return { depart: (id: string, now: number) => depart(id, now) };
      },
    ],
    ['a lifetime that was wrongly taken for dead stays so', () => ({ contradict: () => [] })],
    ['a new lifetime ends no other at its address', () => ({ presumeDead: () => [] })],
  ];

  versions.forEach(([what, change]) => {
    it(`finds the version in which ${what}`, () => {
      const model = models.registryModel.registryModel(() => newBrokenRegistry(change));
      const { finding } = explorer.explore(model, 6);
      expect(finding).toMatchSnapshot();
      expect(finding).not.to.equal(undefined);
    });
  });
});
