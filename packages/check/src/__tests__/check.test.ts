/**
 * The explorer finds shortest counterexamples; the models find none in the domain's code and one in each broken rule.
 */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as explorer from '../explorer';
import * as models from '../models';

const { expect } = chai;

type Quarantine = domain.quarantine.quarantine.Quarantine;
type Registry = domain.registry.registry.Registry;

/** A counter that increases by one or three; a sum of seven is a violation. */
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
  it('finds a shortest counterexample and counts equal states once', () => {
    expect(explorer.explore(COUNTER, 2)).to.deep.equal({ states: 6, steps: 6, finding: undefined });
    expect(explorer.explore(COUNTER, 3).finding).to.deep.equal({
      problem: 'seven',
      story: ['+1', '+3', '+3'],
    });
  });

  it('shrinks the counterexample of a random walk', () => {
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

/** Fields of a suspect that the broken rules use. */
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
  return wasQuarantined.call(this, content) || domain.quarantine.suspect.crashCountOf(suspect) >= 2;
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

describe('quarantine of parts, checked', () => {
  const explore = (rules: object): explorer.Exploration =>
    explorer.explore(
      models.partModel.partModel(() => newBrokenQuarantine(rules)),
      3,
    );

  it('serves innocent requests and stops culprits, in all sequences of three events', () => {
    expect(explore({}).finding).to.equal(undefined);
  });

  /** Guards against checks that hold whatever the quarantine does. */
  const versions: [string, object][] = [
    ['a quarantined part refuses all requests that have it', { isExplained: () => false }],
    ['no request that begins its answer clears a part', { began: () => undefined }],
    ['parts are never suspect', { isRefused: () => false }],
  ];
  versions.forEach(([rule, rules]) => {
    it(`is violated if ${rule}`, () => {
      expect(explore(rules).finding?.problem).to.be.a('string');
    });
  });
});

describe('quarantine, checked', () => {
  [true, false].forEach((areSuspectsIsolated) => {
    const where = areSuspectsIsolated ? 'under a leader' : 'without a leader';
    it(`serves innocent requests and stops culprits, in all sequences of five events ${where}`, () => {
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
    ['no quarantine is ever doubtful', { isDoubtful: () => false }],
    ['only quarantined contents explain crashes', { mayBeCulprit: wasQuarantined }],
    ['only counted crashes make a possible culprit', { mayBeCulprit: hasTwoCounted }],
    ['crashes of a doubtful content no longer explain others', { noteExplained: () => undefined }],
    [
      'every quarantine is ended as doubtful after two seconds',
      { dueReason: doubtfulAfterTwoSeconds },
    ],
    ['quarantined contents count as suspected', { standing: () => 'suspected' }],
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

/** A registry with the methods replaced that `change` returns. */
function newBrokenRegistry(change: (registry: Registry) => object): Registry {
  const registry = newRegistry();
  return Object.assign(registry, change(registry));
}

describe('registry, checked', () => {
  it('has one lifetime at an address, the running one once it announces itself, in all sequences of six events', () => {
    const { finding, ...counts } = explorer.explore(
      models.registryModel.registryModel(newRegistry),
      6,
    );
    expect(finding).to.equal(undefined);
    expect(counts).toMatchSnapshot();
  });

  const versions: [string, (registry: Registry) => object][] = [
    [
      'the records of a leader take no precedence',
      (registry) => ({ follow: registry.merge.bind(registry) }),
    ],
    [
      'a departure ends any lifetime with the id',
      (registry) => {
        const depart = registry.depart.bind(registry);
        return { depart: (id: string, now: number) => depart(id, now) };
      },
    ],
    ['a lifetime that was wrongly presumed dead stays dead', () => ({ contradict: () => [] })],
    [
      'a new lifetime does not end the previous one at its address',
      () => ({ presumeDead: () => [] }),
    ],
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

const { RULES, replicationModel } = models.replicationModel;

/** The silence that a leader itself has seen, from its election on. */
function ownSilence(leader: domain.replication.replica.Replica, id: string, now: number): number {
  return now - (leader as unknown as { contactAt: (of: string) => number }).contactAt(id);
}

/** A repair that doesn't know that another replica was heard at an address. */
function stepWithoutSuccessors(
  situation: domain.replication.repair.Situation,
): domain.replication.repair.RepairStep | undefined {
  const spares = situation.spares.map(({ silentFor: _unknown, ...spare }) => spare);
  return domain.replication.repair.nextStep({ ...situation, spares });
}

describe('replicated log with lost disks, checked', () => {
  const WALKS = { seed: 1, count: 100, length: 12 };

  (['any', 'leadersDisks'] as const).forEach((faults) => {
    it(`accepts commands and loses none, in random walks with faults "${faults}"`, () => {
      const { finding } = explorer.walk(replicationModel(RULES, faults), WALKS);
      expect(finding).to.equal(undefined);
    });
  });

  it('finds the version in which each leader counts the silence of voters anew', () => {
    const rules = { ...RULES, nextStep: stepWithoutSuccessors, silentFor: ownSilence };
    const { finding } = explorer.walk(replicationModel(rules, 'leadersDisks'), WALKS);
    expect(finding).toMatchSnapshot();
    expect(finding).not.to.equal(undefined);
  });
});
