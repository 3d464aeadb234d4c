/** Each check detects the violation of its guarantee, and reports none where it holds. */
import * as chai from 'chai';
import * as answers from '../answers';
import * as checks from '../checks';
import * as observations from '../observations';
import type * as violation from '../violation';

const { expect } = chai;

type Observations = observations.Observations;

const PATH = '/unsafe/call';

function answered(status: number, body = ''): observations.RequestOutcome {
  return { kind: 'answered', status, isSigned: true, body };
}

function requestRecord(
  request: string,
  more: Partial<observations.RequestRecord> = {},
): observations.RequestRecord {
  return {
    request,
    kind: 'unsafe',
    path: PATH,
    entry: 0,
    incarnation: 1,
    key: 'k',
    sentAt: 10_000,
    endedAt: 10_100,
    ending: answered(200, answers.callBody(request, PATH)),
    ...more,
  };
}

function probeRecord(version: number, sentAt: number, status: number): observations.Probe {
  const base = requestRecord(`p${version}-${sentAt}`, {
    kind: 'safe',
    sentAt,
    endedAt: sentAt + 10,
  });
  return { ...base, version, label: '', ending: answered(status) };
}

function submittedDocument(
  version: number,
  ackedAt: number | undefined,
  keys = ['k'],
): observations.SubmittedDocument {
  return { version, label: '', keys, sentAt: (ackedAt ?? 5_000) - 100, ackedAt };
}

/** Names of the violated guarantees in a run without violations that `change` modifies. */
function violatedGuarantees(change: (good: Observations) => void): string[] {
  const good = observations.empty();
  good.sent.push(submittedDocument(1, 1_000));
  good.readBack = { version: 1, label: '' };
  good.healedAt = 20_000;
  good.asked.push(requestRecord('r1'), requestRecord('r2', { sentAt: 30_000, endedAt: 30_100 }));
  good.ran.push({ request: 'r1', target: 't0-1', at: 10_050 });
  good.lifetimes.push({ target: 't0-1', index: 0 });
  good.probes.push(probeRecord(1, 9_000, 200));
  change(good);
  return checks.violations(good).map(({ promise }) => promise);
}

/** Copies that may reach further targets after the third crash. */
const MAX_LATER_ARRIVALS = 3;

/**
 * Three targets crash by 11.2 s; `later` copies of the request reach further targets from 14.3 s on, sent by entry 0.
 */
function addCrashes(good: Observations, later: number): void {
  for (let i = 0; i < 3; i++) {
    good.crashed.push({ target: `t9-${i}`, cause: 'crash 1', at: 11_000 + 100 * i });
  }
  for (let i = 0; i < later; i++) {
    const at = 14_300 + 100 * i;
    const request = `r9${i}`;
    const ending = answered(502);
    good.crashers.push({
      ...requestRecord(request, { sentAt: at, endedAt: at, ending }),
      cause: 'crash 1',
    });
    good.ran.push({ request, target: 't0-1', at });
  }
}

/**
 * Target 0 limits entry 0 to one request per second from 10 s on, gets one every `everyMs`, and reports the limit
 * each time.
 */
function addLimitedTarget(good: Observations, everyMs: number): void {
  good.limited.push({ index: 0, perSecond: 1, from: 10_000, until: 20_000 });
  for (let at = 10_000; at < 20_000; at += everyMs) {
    good.got.push({ target: 't0-1', entry: 0, at });
    good.told.push({ target: 't0-1', entry: 0, at });
  }
}

/** Requests to a severed entry and to another one, for which the severed one's end with `status`. */
function addSeveredEntry({ asked, severed }: Observations, count: number, status: number): void {
  severed.push({ entries: [0], from: 9_000, until: 19_000 });
  for (let i = 0; i < count; i++) {
    const times = { sentAt: 12_100 + i, endedAt: 12_200 + i };
    const own = { kind: 'safe', ...times } as const;
    asked.push(requestRecord(`s${i}`, { ...own, entry: 0, ending: answered(status) }));
    const body = answers.callBody(`o${i}`, PATH);
    asked.push(requestRecord(`o${i}`, { ...own, entry: 1, ending: answered(200, body) }));
  }
}

/** A limited target gets 20 messages while entry 0 has no paths; this many are requests of callers. */
function addTakenLimit(good: Observations, requests: number): void {
  good.severed.push({ entries: [0], from: 9_000, until: 18_000 });
  good.limited.push({ index: 0, perSecond: 5, from: 5_000, until: 18_000 });
  good.told.push({ target: 't0-1', entry: 1, at: 5_100 });
  for (let i = 0; i < 20; i++) {
    const at = 12_100 + 200 * i;
    good.got.push({ target: 't0-1', entry: 0, at });
    if (i < requests) {
      good.asked.push(requestRecord(`v${i}`, { kind: 'safe', entry: 1, sentAt: at, endedAt: at }));
      good.ran.push({ request: `v${i}`, target: 't0-1', at });
    }
  }
}

/** A stream that had begun on target 0 ended without its last event while that target was silent. */
function addCutStream({ asked, ran, silenced }: Observations): void {
  const ending = { kind: 'broken', hasBegun: true } as const;
  asked.push(requestRecord('r3', { kind: 'stream', endedAt: 12_000, ending }));
  ran.push({ request: 'r3', target: 't0-1', at: 10_050 });
  silenced.push({ targets: [0], from: 10_500, until: 12_500 });
}

/** Adds a fault of entry or target 0, half a second long, to a run. */
function addFault(subject: 'entry' | 'target', from: number) {
  return ({ disturbances }: Observations): void => {
    disturbances.push({ subject, index: 0, what: 'fault', from, until: from + 500 });
  };
}

/** An evacuation of a data centre without targets; target 0 runs a request 5.2 s after its acknowledgement. */
const EVACUATION = { dataCentre: 'west', ackedAt: 4_850, endedAt: 20_000, isListed: true };

describe('soak: checks', () => {
  it('allow requests to an evacuated data centre from an entry that was cut off since the order', () => {
    const violated = violatedGuarantees((good) => {
      good.evacuated.push({ ...EVACUATION, dataCentre: 'east' });
      const disturbance = { subject: 'entry', index: 0, what: 'entryCut' } as const;
      good.disturbances.push({ ...disturbance, from: 4_900, until: 8_000 });
    });
    expect(violated).to.deep.equal([]);
  });

  it('allow a few failures at an entry without paths to targets, and any number if it is disturbed as well', () => {
    expect(violatedGuarantees((good) => addSeveredEntry(good, 10, 503))).to.deep.equal([]);
    const disturbed = violatedGuarantees((good) => {
      addSeveredEntry(good, 40, 503);
      const disturbance = { subject: 'entry', index: 0, what: 'entryPause' } as const;
      good.disturbances.push({ ...disturbance, from: 9_500, until: 10_000 });
    });
    expect(disturbed).to.deep.equal([]);
  });

  it('allow a request to a target whose report that it drains was lost on a severed path, but no other', () => {
    const violatedWith = (until: number): string[] =>
      violatedGuarantees(({ saidLeaving, severed }) => {
        saidLeaving.push({ target: 't0-1', entry: 0, at: 7_000 });
        severed.push({ entries: [0], from: 5_000, until });
      });
    expect(violatedWith(7_100)).to.not.include('drainedTargetRan');
    expect(violatedWith(6_500)).to.include('drainedTargetRan');
  });

  it('compare callers without paths to targets by the kind of their requests', () => {
    const violatedWith = (served: boolean): string[] =>
      violatedGuarantees((good) => {
        addSeveredEntry(good, 40, 503);
        const elsewhere = good.asked.filter(({ entry }) => entry === 1);
        // What fails at the severed entry fails elsewhere too; another kind is served there.
        const ending = answered(503);
        if (!served) elsewhere.forEach((each) => Object.assign(each, { ending }));
        const stream = { kind: 'stream', entry: 1, sentAt: 12_500, endedAt: 12_600 } as const;
        for (let i = 0; i < 60; i++) good.asked.push(requestRecord(`x${i}`, stream));
      });
    expect(violatedWith(false)).to.not.include('unservedWithoutPaths');
    expect(violatedWith(true)).to.include('unservedWithoutPaths');
  });

  it('compare callers without paths to targets while some target could take their requests', () => {
    const violatedWith = (backOffSeconds: number): string[] =>
      violatedGuarantees((good) => {
        addSeveredEntry(good, 40, 503);
        good.lifetimes.push({ target: 't1-1', index: 1 });
        good.ran.push({ request: 'o0', target: 't0-1', at: 12_150 });
        good.ran.push({ request: 'o1', target: 't1-1', at: 12_150 });
        good.evacuated.push({ ...EVACUATION, dataCentre: 'west' });
        good.turnedAway.push({ target: 't0-1', entry: 1, at: 12_000, backOffSeconds });
      });
    expect(violatedWith(1)).to.not.include('unservedWithoutPaths');
    expect(violatedWith(0.1)).to.include('unservedWithoutPaths');
  });

  it('compare callers without paths to targets until their keys are withdrawn', () => {
    const violatedWith = (withdrawnAt: number): string[] =>
      violatedGuarantees((good) => {
        addSeveredEntry(good, 40, 503);
        good.sent.push(submittedDocument(2, withdrawnAt + 100, ['k+']));
        good.revoked.push({ key: 'k', ackedAt: withdrawnAt + 100 });
      });
    expect(violatedWith(13_000)).to.include('unservedWithoutPaths');
    expect(violatedWith(12_100)).to.not.include('unservedWithoutPaths');
  });

  /** Guards against probes of an entry without paths that take what limits leave to callers. */
  it('allow a few messages to limited targets that are no requests while an entry has no paths, but not most', () => {
    const violatedWith = (requests: number): string[] =>
      violatedGuarantees((good) => addTakenLimit(good, requests));
    expect(violatedWith(6)).to.include('limitsTaken');
    expect(violatedWith(7)).to.not.include('limitsTaken');
  });

  it('compare callers without paths to targets while no link is harmed, and 3 s after', () => {
    const violatedWith = (until: number): string[] =>
      violatedGuarantees((good) => {
        addSeveredEntry(good, 40, 503);
        const delay = { subject: 'network', index: 0, what: 'delay' } as const;
        good.disturbances.push({ ...delay, from: 9_000, until });
      });
    expect(violatedWith(12_000)).to.not.include('unservedWithoutPaths');
    expect(violatedWith(9_050)).to.include('unservedWithoutPaths');
  });

  it('allow a request to an evacuated data centre that a severed path held back', () => {
    const violated = violatedGuarantees((good) => {
      good.evacuated.push({ ...EVACUATION, dataCentre: 'east' });
      good.severed.push({ entries: [0], from: 9_500, until: 10_040 });
    });
    expect(violated).to.deep.equal([]);
  });

  it('allow messages to a target whose back-off answered a request that its caller had given up, but no other', () => {
    const messagesAfter = (endedAt: number): string[] =>
      violatedGuarantees(({ asked: all, got, turnedAway }) => {
        const exchange = { target: 't0-1', entry: 0 };
        all.push(requestRecord('r3', { endedAt, ending: { kind: 'hung' } }));
        turnedAway.push({ ...exchange, at: 10_000, backOffSeconds: 2, rejected: 'r3' });
        got.push(...[10_600, 11_200, 11_900].map((at) => ({ ...exchange, at })));
      });
    expect(messagesAfter(9_990)).to.not.include('notLeftAlone');
    expect(messagesAfter(10_010)).to.include('notLeftAlone');
  });

  it('allow messages to a target whose back-off was lost on a severed path', () => {
    const violated = violatedGuarantees((good) => {
      good.severed.push({ entries: [0], from: 9_000, until: 10_500 });
      good.turnedAway.push({ target: 't0-1', entry: 0, at: 10_000, backOffSeconds: 5 });
      for (let at = 11_000; at < 14_000; at += 300) good.got.push({ target: 't0-1', entry: 0, at });
    });
    expect(violated).to.deep.equal([]);
  });

  it('allow one and a half times a limit and a few messages more, and any number from a disturbed entry', () => {
    // The allowed maximum is 11 messages in 4 s.
    expect(violatedGuarantees((good) => addLimitedTarget(good, 370))).to.deep.equal([]);
    expect(violatedGuarantees((good) => addLimitedTarget(good, 350))).to.deep.equal(['overLimit']);
    const disturbed = violatedGuarantees((good) => {
      addLimitedTarget(good, 100);
      const disturbance = { subject: 'entry', index: 0, what: 'entryCut' } as const;
      good.disturbances.push({ ...disturbance, from: 10_000, until: 20_000 });
    });
    expect(disturbed).to.deep.equal([]);
  });

  it('allow a few copies after the third crash, and any number from a disturbed entry', () => {
    expect(violatedGuarantees((good) => addCrashes(good, MAX_LATER_ARRIVALS))).to.deep.equal([]);
    const found = violatedGuarantees((good) => {
      addCrashes(good, 9);
      const disturbance = { subject: 'entry', index: 0, what: 'entryCut' } as const;
      good.disturbances.push({ ...disturbance, from: 13_000, until: 14_000 });
    });
    expect(found).to.deep.equal([]);
  });

  it('find nothing in a run without violations', () => {
    expect(violatedGuarantees(() => undefined)).to.deep.equal([]);
  });

  const violationCases: [violation.Guarantee, (good: Observations) => void][] = [
    [
      'wrongAnswer',
      ({ asked: all }) => all.push(requestRecord('r3', { ending: answered(200, 'other') })),
    ],
    ['ranTwice', ({ ran }) => ran.push({ request: 'r1', target: 't1-1', at: 10_060 })],
    [
      'falseNotRun',
      ({ asked: all, ran }) => {
        all.push(requestRecord('r3', { ending: answered(503) }));
        ran.push({ request: 'r3', target: 't0-1', at: 12_000 });
      },
    ],
    ['hung', ({ asked: all }) => all.push(requestRecord('r3', { ending: { kind: 'hung' } }))],
    ['denied', ({ asked: all }) => all.push(requestRecord('r3', { ending: answered(401) }))],
    [
      'wentBack',
      ({ probes, sent: all }) => {
        all.push(submittedDocument(2, undefined));
        probes.push(probeRecord(2, 8_000, 200));
      },
    ],
    [
      'notInForce',
      ({ sent: all, readBack }) => {
        all.push(submittedDocument(2, 6_000));
        Object.assign(readBack as object, { version: 2 });
      },
    ],
    ['twoContents', ({ probes }) => probes.push({ ...probeRecord(1, 9_000, 200), label: 'b' })],
    ['lost', ({ sent: all }) => all.push(submittedDocument(2, 19_000))],
    [
      'lost',
      ({ sent: all, restartReads, readBack }) => {
        all.push(submittedDocument(2, 6_000), submittedDocument(3, 8_900));
        restartReads.push({ lostAt: 7_000, document: { version: 1, label: '' } });
        Object.assign(readBack as object, { version: 3 });
      },
    ],
    [
      'revokedKeyRan',
      ({ revoked, ran, asked: all }) => {
        revoked.push({ key: 'old', ackedAt: 1_000 });
        all.push(requestRecord('r3', { key: 'old', sentAt: 6_100 }));
        ran.push({ request: 'r3', target: 't0-1', at: 6_150 });
      },
    ],
    ['drainedTargetRan', ({ drained }) => drained.push({ target: 't0-1', at: 7_000 })],
    [
      'evacuatedTargetRan',
      ({ evacuated }) => evacuated.push({ ...EVACUATION, dataCentre: 'east' }),
    ],
    ['unservedWithoutPaths', (good) => addSeveredEntry(good, 40, 503)],
    ['limitsTaken', (good) => addTakenLimit(good, 2)],
    ['evacuationLost', ({ evacuated }) => evacuated.push({ ...EVACUATION, isListed: false })],
    [
      'cutByStop',
      ({ asked: all, ran, stopped }) => {
        all.push(requestRecord('r3', { ending: { kind: 'broken' } }));
        ran.push({ request: 'r3', target: 't0-1', at: 10_050 });
        stopped.push({ entry: 0, incarnation: 1, from: 9_000, until: 12_000 });
      },
    ],
    ['streamCut', addCutStream],
    ['memoryExceeded', ({ memory }) => memory.push({ entry: 0, bytes: 400e6, at: 10_000 })],
    ['crashedOn', (good) => addCrashes(good, MAX_LATER_ARRIVALS + 1)],
    [
      'falseNotRun',
      (good) => {
        addCrashes(good, 1);
        good.crashers.push({
          ...requestRecord('r90', { ending: answered(503) }),
          cause: 'crash 1',
        });
      },
    ],
    [
      'notLeftAlone',
      ({ got, turnedAway }) => {
        const exchange = { target: 't0-1', entry: 0 };
        turnedAway.push({ ...exchange, at: 10_000, backOffSeconds: 2 });
        got.push(...[10_600, 11_200, 11_900].map((at) => ({ ...exchange, at })));
      },
    ],
    [
      'drainedTargetRan',
      ({ saidLeaving }) => saidLeaving.push({ target: 't0-1', entry: 0, at: 7_000 }),
    ],
    [
      'memoryLeft',
      (good) => {
        good.reservationsLeft = 1;
      },
    ],
    [
      'notRecovered',
      ({ asked: all }) => all.push(requestRecord('r3', { sentAt: 30_000, ending: answered(502) })),
    ],
  ];

  violationCases.forEach(([promise, change]) => {
    it(`find ${promise}`, () => {
      expect(violatedGuarantees(change)).to.include(promise);
    });
  });

  it('excuse a cut stream only for faults of its entry, of its targets or of all paths', () => {
    const isBlamedBeside = (change: (good: Observations) => void): boolean =>
      violatedGuarantees((good) => {
        addCutStream(good);
        change(good);
      }).includes('streamCut');
    const sever = ({ severed }: Observations): unknown =>
      severed.push({ entries: [0], from: 11_000, until: 18_000 });
    const excuses: ((good: Observations) => void)[] = [
      addFault('entry', 7_100),
      addFault('target', 11_000),
      ({ crashed }) => crashed.push({ target: 't0-1', cause: 'crash', at: 11_000 }),
      ({ drained }) => drained.push({ target: 't0-1', at: 8_500 }),
      ({ stopped }) => stopped.push({ entry: 0, incarnation: 1, from: 3_000, until: 11_500 }),
      ({ asked: all }) => Object.assign(all[2], { endedAt: 15_950 }),
      sever,
    ];
    const others: typeof excuses = [
      addFault('entry', 6_000),
      addFault('target', 9_000),
      ({ stopped }) => stopped.push({ entry: 0, incarnation: 1, from: 10_500, until: 12_000 }),
      (good) => sever(good) && good.asked.push(requestRecord('r4', { entry: 1 })),
    ];
    expect(excuses.filter(isBlamedBeside)).to.deep.equal([]);
    expect(others.filter(isBlamedBeside)).to.deep.equal(others);
  });

  it('allow what may happen to a disturbed process', () => {
    const found = violatedGuarantees(({ probes, asked: all, disturbances, sent: documents }) => {
      const disturbance = {
        subject: 'entry',
        index: 0,
        what: 'entryCut',
        from: 0,
        until: 15_000,
      } as const;
      disturbances.push(disturbance);
      documents.push({ ...submittedDocument(2, 2_000, ['k', 'new']), label: '' });
      documents.push(submittedDocument(3, 19_500));
      probes.push(probeRecord(2, 14_000, 404));
      all.push(requestRecord('r3', { key: 'new', ending: answered(401) }));
    });
    // Only the document that can't be read back is a violation.
    expect(found).to.deep.equal(['lost']);
  });

  /*
   * Guards against blaming a planned stop for a freeze: an entry that was frozen when it got the signal resumed 5.8 s
   * later, had 2.2 s of its stop timeout left and was killed with three open streams. Requests sent within the
   * settling time after a freeze don't count; later ones do.
   */
  it('allow a stop to truncate responses to requests sent right after a freeze, but not to later ones', () => {
    const cutAfter = (frozenUntil: number): string[] =>
      violatedGuarantees(({ asked: all, ran, stopped, disturbances }) => {
        all.push(requestRecord('r3', { ending: { kind: 'broken' } }));
        ran.push({ request: 'r3', target: 't0-1', at: 10_050 });
        stopped.push({ entry: 0, incarnation: 1, from: 4_000, until: 12_000 });
        const freeze = { subject: 'entry', index: 0, what: 'entryPause' } as const;
        disturbances.push({ ...freeze, from: 2_000, until: frozenUntil });
      });
    expect([cutAfter(8_000), cutAfter(6_900)]).to.deep.equal([[], ['cutByStop']]);
  });

  it('allow a stop to truncate responses whose paths were severed meanwhile, but not those at other entries', () => {
    const cutWith = (severedEntry: number): string[] =>
      violatedGuarantees(({ asked: all, ran, stopped, severed }) => {
        all.push(requestRecord('r3', { ending: { kind: 'broken' } }));
        ran.push({ request: 'r3', target: 't0-1', at: 10_050 });
        stopped.push({ entry: 0, incarnation: 1, from: 9_000, until: 12_000 });
        severed.push({ entries: [severedEntry], from: 10_060, until: 20_000 });
      });
    expect([cutWith(0), cutWith(1)]).to.deep.equal([[], ['cutByStop']]);
  });
});
