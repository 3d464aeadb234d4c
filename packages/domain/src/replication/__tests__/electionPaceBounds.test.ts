/** What peers and frozen clocks may do to the pace of elections. */
import * as chai from 'chai';
import * as random from '../../shared/random';
import * as electionPace from '../electionPace';
import * as messages from '../messages';
import * as replica from '../replica';

const { expect } = chai;

const TIMING = { heartbeat: 120, electionMin: 450, electionMax: 750 };

const MEMBERS: messages.Member[] = ['a', 'b', 'c'].map((id) => {
  return { id, address: `${id}:1`, dataCentre: 'd', role: 'voter' };
});

const HEARTBEAT: messages.Message = {
  kind: 'appendRequest',
  from: 'b',
  term: 1,
  previousIndex: 0,
  previousTerm: 0,
  entries: [],
  commit: 0,
  sentAt: 0,
};

function follower(stated: unknown): replica.Replica {
  const durable = messages.emptyDurable();
  const each = new replica.Replica('a', durable, TIMING, random.seeded(1), 0);
  each.found(MEMBERS);
  const heartbeat = { ...HEARTBEAT, quorumRoundTripMs: stated } as messages.Message;
  each.receive(heartbeat, 1_000);
  return each;
}

function votes(each: replica.Replica, now: number): boolean {
  const request = { kind: 'voteRequest', from: 'c', pre: false, term: 2 } as const;
  const effects = each.receive({ ...request, lastIndex: 9, lastTerm: 9, sentAt: now }, now);
  return effects.send.some(({ message }) => message.kind === 'voteAnswer' && message.granted);
}

describe('pace of elections', () => {
  for (const stated of [NaN, 'soon', {}]) {
    // Guards against a vote within a leader's lease: no comparison with a time that isn't a number holds.
    it(`keeps a follower from voting within the lease of a leader that states ${String(stated)}`, () => {
      expect(votes(follower(stated), 1_010)).to.equal(false);
    });

    // Guards against a replica that never starts an election again.
    it(`lets a follower miss a leader that states ${String(stated)}`, () => {
      const each = follower(stated);
      for (let now = 1_000; now < 20_000 && each.state === 'follower'; now += 50) each.tick(now);
      expect(each.state).to.equal('preCandidate');
    });
  }

  // Guards against a second leader for seconds: answers held back by a freeze say nothing of how slow the quorum is.
  it('lets a leader that gets old answers after a freeze step down', () => {
    const each = new replica.Replica('a', messages.emptyDurable(), TIMING, random.seeded(1), 0);
    each.found(MEMBERS);
    let now = 0;
    let answers: messages.Message[] = [];
    const step = (effects: messages.Effects): void => {
      effects.send.forEach(({ to, message }) => {
        if (message.kind === 'voteRequest') {
          const { pre, sentAt, term } = message;
          const vote = { from: to, pre, term, granted: true, knowsLeader: false, sentAt };
          answers.push({ kind: 'voteAnswer', ...vote });
        } else if (message.kind === 'appendRequest') {
          const { term, sentAt, previousIndex, entries } = message;
          const matched = previousIndex + entries.length;
          answers.push({ kind: 'appendAnswer', from: to, term, success: true, matched, sentAt });
        }
      });
    };
    const answer = (): void => {
      const due = answers;
      answers = [];
      due.forEach((message) => step(each.receive(message, now)));
    };
    while (now < 10_000 || answers.length === 0) {
      answer();
      now += 10;
      step(each.tick(now));
    }
    expect(each.state).to.equal('leader');
    now += 4_000;
    answer();
    step(each.tick(now));
    expect(each.state).to.equal('follower');
  });

  // Guards against a fleet that waits eight election timeouts for a lost leader long after a freeze is over.
  it('forgets a freeze within as many answers as the greatest slowness that it counts', () => {
    const after = (frozenMs: number): number => {
      const pace = new electionPace.ElectionPace(TIMING.electionMin);
      pace.observe('b', frozenMs);
      let answers = 0;
      while (pace.factor('a', () => ['a', 'b']) > 1) {
        pace.observe('b', 1);
        answers += 1;
      }
      return answers;
    };
    expect(after(60_000)).to.equal(after((TIMING.electionMin * 8) / 2));
  });
});
