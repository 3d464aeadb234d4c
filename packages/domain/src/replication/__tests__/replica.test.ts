/**
 * The replicated log against a simple reference store, under seeded schedules and in particular
 * failures.
 */
import * as chai from 'chai';
import * as random from '../../shared/random';
import * as messages from '../messages';
import * as replica from '../replica';
import * as schedule from './schedule';

const { expect } = chai;

/** Seeded schedules per test; a failure prints its seed. */
const SCHEDULES = 2_000;

function run(seed: number, options: schedule.Options): schedule.Finding | undefined {
  const simulation = new schedule.Schedule(seed, options);
  const found = simulation.run();
  if (found !== undefined) return found;
  simulation.heal(3_000);
  const lost = [...simulation.acknowledged].find(([command, index]) => {
    return !simulation.committed.get(index)?.includes(`"command":"${command}"`);
  });
  if (lost !== undefined) return { seed, problem: `acknowledged ${lost[0]} is lost` };
  if (simulation.problem !== '') return { seed, problem: simulation.problem };
  const last = simulation.propose();
  simulation.heal(500);
  const isAccepted = simulation.acknowledged.has(last);
  return isAccepted ? undefined : { seed, problem: 'no command accepted after all faults ended' };
}

const EAGER_RESTART = { min: 150, max: 200, again: { min: 40, max: 60 } };

/** For few replicas close to each other; the bounds after a restart exceed the heartbeat. */
const EAGER = { heartbeat: 120, electionMin: 450, electionMax: 750, restart: EAGER_RESTART };

const RESTART = { min: 250, max: 450, again: { min: 150, max: 300 } };

describe('replicated log', () => {
  it('keeps every acknowledged command in one order under crashes, loss and partitions', () => {
    const findings: schedule.Finding[] = [];
    for (let seed = 1; seed <= SCHEDULES; seed++) {
      const voters = seed % 4 === 0 ? 5 : 3;
      const options = { voters, spares: 0, steps: 700, crash: 0.02, loss: 0.05 };
      const finding = run(seed, options);
      if (finding !== undefined) findings.push(finding);
    }
    expect(findings).to.deep.equal([]);
  });

  it('keeps them where replicas vote at once after a start and no lease is used', () => {
    const timing = { ...replica.DEFAULT_TIMING, restart: { ...RESTART, min: 450, max: 700 } };
    const findings: schedule.Finding[] = [];
    for (let seed = 1; seed <= SCHEDULES / 2; seed++) {
      const options = { voters: 5, spares: 0, steps: 700, crash: 0.03, loss: 0.05, timing };
      const finding = run(seed, options);
      if (finding !== undefined) findings.push(finding);
    }
    expect(findings).to.deep.equal([]);
  });

  it('keeps them where started replicas retry with short delays and the lowest id has priority', () => {
    const findings: schedule.Finding[] = [];
    for (let seed = 1; seed <= SCHEDULES / 2; seed++) {
      const voters = seed % 4 === 0 ? 3 : 5;
      const options = { voters, spares: 0, steps: 700, crash: 0.03, loss: 0.05, timing: EAGER };
      const finding = run(seed, options);
      if (finding !== undefined) findings.push(finding);
    }
    expect(findings).to.deep.equal([]);
  });

  /*
   * Guards against refused requests for a second after a power loss of all VMs: all replicas
   * restart at the same moment, and none votes before a whole election timeout has passed, which
   * would protect a leader's lease, although no lease is in use.
   */
  it('elects a leader sooner after a restart of all where no lease is used', () => {
    const measureWait = (restart: replica.Timing['restart']): number => {
      const timing = { ...replica.DEFAULT_TIMING, restart };
      const options = { voters: 5, spares: 0, steps: 0, crash: 0, loss: 0, timing };
      const simulation = new schedule.Schedule(3, options);
      simulation.heal(3_000);
      simulation.restartAll();
      let waited = 0;
      for (; simulation.leader() === undefined && waited < 5_000; waited += 10)
        simulation.advance(10);
      return waited;
    };
    expect(measureWait(undefined)).to.be.at.least(800);
    expect(measureWait(RESTART)).to.be.at.most(500);
  });

  /*
   * Guards against 0.3 s of refused requests: two of five replicas started first and requested
   * votes before the others had started, then retried only after a whole election timeout.
   */
  it('elects a leader soon after the last replica needed for a quorum has started', () => {
    const options = { voters: 5, spares: 0, steps: 0, crash: 0, loss: 0 };
    const waits = [1, 2, 3, 4, 5, 6, 7, 8].map((seed) => {
      const timing = { ...replica.DEFAULT_TIMING, restart: RESTART };
      const simulation = new schedule.Schedule(seed, { ...options, timing });
      simulation.heal(3_000);
      simulation.restartStaggered(2, 500);
      let waited = 0;
      for (; simulation.leader() === undefined && waited < 5_000; waited += 10)
        simulation.advance(10);
      return waited;
    });
    expect(Math.max(...waits)).to.be.at.most(450);
  });

  /*
   * Guards against half a second of refused requests after a power loss of all VMs: the replicas
   * that start first wait for a quorum, and when it is complete neither the delay between two
   * attempts nor a split vote may add to the wait. The bounds are one delay of 60 ms and the six
   * messages of an election at 5 to 25 ms each in this network.
   */
  it('elects without a split vote once a quorum is up, whatever the order of the starts', () => {
    const options = { voters: 5, spares: 0, steps: 0, crash: 0, loss: 0 };
    const waits = Array.from({ length: 1_000 }, (_each, seed) => {
      const simulation = new schedule.Schedule(seed, { ...options, timing: EAGER });
      simulation.heal(1_000);
      simulation.restartStaggered(2, EAGER_RESTART.max + (seed % 200));
      let waited = 0;
      for (; simulation.leader() === undefined && waited < 5_000; waited += 10)
        simulation.advance(10);
      return waited;
    });
    waits.sort((a, b) => a - b);
    expect(waits[500], 'median').to.be.at.most(170);
    expect(waits[999], 'longest').to.be.at.most(240);
  });

  /*
   * Guards against the loss of a live leader: most keepers are killed and restart at once, and if
   * they hold an election before the leader's next message arrives, it has to step down.
   */
  it('keeps a live leader when most of its followers restart', () => {
    const options = { voters: 5, spares: 0, steps: 0, crash: 0, loss: 0 };
    const deposed = Array.from({ length: 1_000 }, (_each, seed) => seed).filter((seed) => {
      const simulation = new schedule.Schedule(seed, { ...options, timing: EAGER });
      simulation.heal(1_000);
      const before = simulation.leader()?.id ?? '';
      const others = [...simulation.nodes.keys()].filter((id) => id !== before);
      others.slice(0, 1 + (seed % 3)).forEach((id) => simulation.restart(id));
      simulation.advance(1_500);
      return simulation.leader()?.id !== before;
    });
    expect(deposed).to.deep.equal([]);
  });

  /*
   * Guards against the loss of accepted settings: a leader is silently cut off with one follower
   * dead. It must stop accepting changes, and those that the others accept meanwhile must persist
   * when it returns.
   */
  it('accepts nothing on an isolated leader, and loses nothing when it returns', () => {
    const simulation = new schedule.Schedule(7, {
      voters: 3,
      spares: 0,
      steps: 0,
      crash: 0,
      loss: 0,
    });
    simulation.heal(3_000);
    const formerLeader = simulation.leader()?.id ?? '';
    simulation.isolate(formerLeader);
    simulation.advance(3_000);
    const isolated = simulation.nodes.get(formerLeader)?.replica;
    expect(isolated?.state).to.not.equal('leader');
    expect(simulation.leader()?.id).to.not.equal(formerLeader);
    simulation.propose();
    simulation.heal(3_000);
    simulation.propose();
    simulation.heal(500);
    expect(simulation.problem).to.equal('');
    expect(simulation.acknowledged.size).to.be.greaterThan(0);
  });

  /*
   * Guards against stale reads from a leader whose successor has accepted newer settings: the link
   * between leader and one follower is silently cut. The other follower confirms the leader's lease,
   * loses its memory of that in a restart, and might then vote for the follower that is cut off.
   */
  [false, true].forEach((restarts) => {
    it(`elects no second leader during a lease, ${restarts ? 'with' : 'without'} restarts`, () => {
      for (let seed = 1; seed <= 20; seed++) {
        const options = { voters: 3, spares: 0, steps: 0, crash: 0, loss: 0 };
        const simulation = new schedule.Schedule(seed, options);
        simulation.heal(3_000);
        const leader = simulation.leader()?.id as string;
        const [cut, other] = [...simulation.nodes.keys()].filter((id) => id !== leader) as [
          string,
          string,
        ];
        simulation.cutLink(leader, cut);
        for (let round = 0; round < 100; round++) {
          if (restarts) simulation.restart(other);
          simulation.advance(50);
        }
        expect(simulation.problem, `seed ${seed}`).to.equal('');
        if (!restarts) expect(simulation.leader()?.id, `seed ${seed}`).to.equal(leader);
      }
    });
  });

  /*
   * Guards against an accepted change that is replaced: a leader took an entry of an earlier term
   * for committed because a majority had it, and a replica with a later term overwrote it.
   */
  it('counts an entry of an earlier term as committed only with one of its own', () => {
    const members = ['a', 'b', 'c'].map((id): messages.Member => {
      return { id, address: id, dataCentre: id, role: 'voter' };
    });
    const empty = messages.emptyDurable();
    const durable: messages.DurableState = {
      vote: { term: 3, votedFor: '' },
      snapshot: { ...empty.snapshot, members },
      entries: [{ kind: 'command', index: 1, term: 2, command: 'old' }],
    };
    const timing = replica.DEFAULT_TIMING;
    const tested = new replica.Replica('a', durable, timing, random.seeded(1), 0);
    const now = timing.electionMax + 1;
    tested.tick(now);
    const vote = {
      kind: 'voteAnswer',
      from: 'b',
      term: 4,
      granted: true,
      knowsLeader: false,
    } as const;
    tested.receive({ ...vote, pre: true }, now);
    tested.receive({ ...vote, pre: false }, now);
    const answer = {
      kind: 'appendAnswer',
      from: 'b',
      term: 4,
      success: true,
      sentAt: now,
    } as const;
    tested.receive({ ...answer, matched: 1 }, now);
    const before = tested.commit;
    tested.receive({ ...answer, matched: 2 }, now);
    expect([tested.state, before, tested.commit]).to.deep.equal(['leader', 0, 2]);
  });

  /** A member that lacks committed entries must not become a voter. */
  it('refuses to promote a learner that lacks committed entries', () => {
    const simulation = new schedule.Schedule(3, {
      voters: 3,
      spares: 1,
      steps: 0,
      crash: 0,
      loss: 0,
    });
    simulation.heal(3_000);
    simulation.propose();
    simulation.heal(300);
    const leader = simulation.leader();
    const members = leader?.replica?.members ?? [];
    const spare = { id: 's0', address: 's0', dataCentre: 'd', role: 'voter' } as const;
    const now = (leader as unknown as { skew: number }).skew;
    const change = leader?.replica?.changeMembers([...members, spare], simulation.clock + now);
    expect(change?.refusal).to.equal('notCaughtUp');
  });

  /*
   * Guards against settings that revert: a delayed old snapshot was installed over later applied
   * state.
   */
  it('installs no snapshot that is older than its applied state', () => {
    const simulation = new schedule.Schedule(4, {
      voters: 3,
      spares: 0,
      steps: 0,
      crash: 0,
      loss: 0,
    });
    simulation.heal(3_000);
    for (let i = 0; i < 3; i++) {
      simulation.propose();
      simulation.heal(100);
    }
    const leader = simulation.leader();
    const follower = [...simulation.nodes.values()].find(({ id }) => id !== leader?.id);
    const snapshot = { index: 1, term: 1, members: leader?.replica?.members ?? [], state: 'old' };
    const effects = follower?.replica?.receive(
      { kind: 'snapshotRequest', from: leader?.id ?? '', term: 9, snapshot, sentAt: 0 },
      simulation.clock,
    );
    expect(effects?.install).to.equal(undefined);
    expect(follower?.replica?.commit).to.be.greaterThan(1);
  });

  /*
   * Guards against the loss of accepted settings when a second VM is lost right after a repair: the
   * repair must not count as done before the new voter has all entries.
   */
  [3, 5].forEach((voters) => {
    it(`loses nothing when a second VM is lost right after a repair of ${voters} voters`, () => {
      for (let seed = 1; seed <= 40; seed++) {
        const simulation = new schedule.Schedule(seed, {
          voters,
          spares: 1,
          steps: 0,
          crash: 0,
          loss: 0,
        });
        simulation.heal(2_500);
        for (let i = 0; i < 30; i++) {
          simulation.propose();
          simulation.heal(30);
        }
        simulation.heal(300);
        const accepted = simulation.acknowledged.size;
        const victims = [...simulation.nodes.keys()].filter((id) => id !== simulation.leader()?.id);
        simulation.destroy(victims.find((id) => id.startsWith('n')) as string);
        let reason = '';
        for (let round = 0; round < 800 && reason !== 'removeDead'; round++) {
          reason = simulation.repairStep(voters, 1_000)?.reason ?? '';
          simulation.heal(20);
        }
        expect(reason, `seed ${seed}`).to.equal('removeDead');
        simulation.heal(200);
        const second = simulation.leader()?.id as string;
        simulation.destroy(second);
        simulation.heal(4_000);
        const last = simulation.propose();
        simulation.heal(500);
        expect(simulation.acknowledged.has(last), `seed ${seed}`).to.equal(true);
        expect(simulation.acknowledged.size, `seed ${seed}`).to.equal(accepted + 1);
        expect(simulation.problem, `seed ${seed}`).to.equal('');
      }
    });
  });

  // Guards against seconds without a leader where each vote of the remaining replicas is needed, and candidates split them.
  it('elects a leader at the first attempt after the loss of two of five', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const simulation = newSet(seed);
      const leader = simulation.leader()?.id as string;
      const other = [...simulation.nodes.keys()].find((id) => id !== leader) as string;
      [leader, other].forEach((id) => simulation.destroy(id));
      simulation.advance(EAGER.electionMax + 200);
      expect(simulation.leader(), `seed ${seed}`).not.to.equal(undefined);
    }
  });

  /*
   * Guards against a set without a quorum after leaders lost their disks one after the other, each before it had counted
   * the silence of its predecessor's replica for long enough.
   */
  it('keeps a quorum when three leaders in turn lose their disks, two at a time', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const simulation = newSet(seed);
      const losses = [0, 2_300, 2_100].map((tenureMs) => {
        simulation.advanceWithRepair(tenureMs, VOTERS, DEAD_AFTER_MS);
        return simulation.wipe(simulation.leader()?.id as string);
      });
      expect(losses).to.have.length(3);
      expect(acceptsCommand(simulation), `seed ${seed}`).to.equal(true);
      expect(simulation.problem, `seed ${seed}`).to.equal('');
    }
  });

  // Guards against the same where VMs never return and a spare is elsewhere, so that only their silence tells.
  it('replaces a voter in time that went silent under an earlier leader', () => {
    for (let seed = 1; seed <= 40; seed++) {
      const simulation = newSet(seed, 1);
      const leader = simulation.leader()?.id as string;
      const silent = [...simulation.nodes.keys()].find((id) => id !== leader) as string;
      simulation.destroy(silent);
      simulation.advanceWithRepair(1_900, VOTERS, DEAD_AFTER_MS);
      simulation.destroy(simulation.leader()?.id as string);
      simulation.advanceWithRepair(2_100, VOTERS, DEAD_AFTER_MS);
      simulation.destroy(simulation.leader()?.id as string);
      expect(acceptsCommand(simulation), `seed ${seed}`).to.equal(true);
    }
  });

  // Guards against a leader that steps down in each term, as it takes its own request to its former replica for another's.
  it('drops a message to another replica at its address', () => {
    const members = ['former', 'b', 'c', 'a'].map((id): messages.Member => {
      return { id, address: id === 'former' ? 'a' : id, dataCentre: id, role: 'voter' };
    });
    const empty = messages.emptyDurable();
    const durable = { ...empty, snapshot: { ...empty.snapshot, members } };
    const tested = new replica.Replica('a', durable, EAGER, random.seeded(1), 0);
    const now = EAGER.electionMax + 1;
    tested.tick(now);
    const vote = { kind: 'voteAnswer', term: 1, granted: true, knowsLeader: false } as const;
    const electing = [true, false].flatMap((pre) => {
      return ['b', 'c'].map((from) => tested.receive({ ...vote, from, pre }, now));
    });
    const requests = electing.flatMap(({ send }) => send).filter(({ to }) => to === 'former');
    const appendRequest = requests.find(({ message }) => message.kind === 'appendRequest');
    tested.receive(appendRequest?.message as messages.Message, now + 1, 'former');
    tested.receive({ ...vote, from: 'b', pre: false, term: 9 }, now + 1, 'former');
    expect([appendRequest?.to, tested.state, tested.term]).to.deep.equal(['former', 'leader', 1]);
  });

  /** A replica as the leader of term 2 with the vote of `c`, and the time at which it was elected. */
  function leaderOfTermTwo(name: 'a' | 'b'): { leader: replica.Replica; now: number } {
    const members = ['a', 'b', 'c'].map((id): messages.Member => {
      return { id, address: id, dataCentre: id, role: 'voter' };
    });
    const empty = messages.emptyDurable();
    const durable: messages.DurableState = {
      ...empty,
      vote: { term: 1, votedFor: '' },
      snapshot: { ...empty.snapshot, members },
    };
    const leader = new replica.Replica(name, durable, EAGER, random.seeded(1), 0);
    const now = EAGER.electionMax + 1;
    leader.tick(now);
    const vote = { kind: 'voteAnswer', from: 'c', term: 2, granted: true } as const;
    leader.receive({ ...vote, knowsLeader: false, pre: true }, now);
    leader.receive({ ...vote, knowsLeader: false, pre: false }, now);
    const answer = { kind: 'appendAnswer', from: 'c', term: 2, success: true, matched: 1 } as const;
    leader.receive({ ...answer, sentAt: now }, now + 1);
    expect([leader.state, leader.term, leader.commit]).to.deep.equal(['leader', 2, 1]);
    return { leader, now };
  }

  // Guards against a stale leader that confirms reads, as it takes answers to its former process for contacts of today.
  it('takes no answer to a former process for a contact', () => {
    const { leader, now } = leaderOfTermTwo('a');
    const follower = leaderOfTermTwo('b').leader;
    const request = { kind: 'appendRequest', from: 'a', term: 1, commit: 0 } as const;
    [now + 5, 9_000_000].forEach((sentAt) => {
      const late = { ...request, entries: [], previousIndex: 0, previousTerm: 0, sentAt };
      const { send } = follower.receive(late, now);
      const answers = send.filter(({ to }) => to === 'a');
      expect(answers).to.have.length(1);
      answers.forEach(({ message }) => leader.receive({ ...message, from: 'b' }, now + 10));
      expect(leader.isConfirmedSince(now + 1)).to.equal(false);
    });
    expect(leader.state).to.equal('leader');
  });

  it('takes no answer of an earlier version to a former process for a contact', () => {
    const { leader, now } = leaderOfTermTwo('a');
    const answer = {
      kind: 'appendAnswer',
      from: 'b',
      term: 2,
      success: false,
      matched: 0,
    } as const;
    leader.receive({ ...answer, sentAt: 9_000_000 }, now + 10);
    expect(leader.isConfirmedSince(now + 1)).to.equal(false);
    expect(leader.hasQuorumContact(now + 10 * EAGER.electionMax)).to.equal(false);
  });

  // Guards against a leader of an earlier term that goes on, as nobody tells it of the present one.
  it('lets the leader of an earlier term step down when it sends a request', () => {
    const follower = leaderOfTermTwo('b');
    const former = leaderOfTermTwo('a');
    follower.leader.receive(
      { kind: 'voteAnswer', from: 'c', pre: false, term: 3, granted: false, knowsLeader: true },
      follower.now,
    );
    const requests = former.leader.contactQuorum(former.now + 200).send;
    const { message } = requests.find(({ to }) => to === 'b') as (typeof requests)[number];
    const { send } = follower.leader.receive(message, follower.now + 200);
    send.forEach(({ message: answer }) => former.leader.receive(answer, former.now + 201));
    expect([former.leader.state, former.leader.term]).to.deep.equal(['follower', 3]);
  });

  // Guards against a repair that takes a voter for gone because its new leader knows of no contact with it yet.
  it('counts no silence of a voter that answers its new leader', () => {
    const simulation = newSet(1, 1);
    const first = simulation.leader()?.id as string;
    const cut = [...simulation.nodes.keys()].find((id) => id !== first) as string;
    simulation.cutLink(first, cut);
    simulation.advance(1_900);
    simulation.destroy(first);
    simulation.advance(900);
    const leader = simulation.leader();
    expect(leader?.replica?.silentFor(cut, simulation.clockOf(leader.id))).to.be.below(450);
  });
});

const VOTERS = 5;

const DEAD_AFTER_MS = 2_000;

/** A replica set that has elected a leader. */
function newSet(seed: number, spares = 0): schedule.Schedule {
  const options = { voters: VOTERS, spares, steps: 0, crash: 0, loss: 0, timing: EAGER };
  const simulation = new schedule.Schedule(seed, options);
  simulation.heal(1_500);
  return simulation;
}

/** Whether the set acknowledges a command in time, with repair and without further faults. */
function acceptsCommand(simulation: schedule.Schedule): boolean {
  simulation.advanceWithRepair(4_000, VOTERS, DEAD_AFTER_MS);
  const command = simulation.propose();
  simulation.advance(500);
  return simulation.acknowledged.has(command);
}
