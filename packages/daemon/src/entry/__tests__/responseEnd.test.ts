/** What ends a caller's response, and that it is ended once. */
import * as chai from 'chai';
import type * as exchangeLog from '../exchangeLog';
import * as notRunGuarantee from '../notRunGuarantee';
import type * as outcomes from '../outcome';
import * as responseEnd from '../responseEnd';

const { expect } = chai;

/** An end whose effects are recorded; `isRun` if a target may have run the request. */
class Recorder {
  readonly effects: string[] = [];

  writableFinished = false;

  readonly end: responseEnd.ResponseEnd;

  constructor(isRun: boolean) {
    let mayHaveRun = isRun;
    this.end = new responseEnd.ResponseEnd({
      admitted: { response: this, facts: { requestId: 'r' } } as never,
      deliveries: {
        end: () => (mayHaveRun ? undefined : notRunGuarantee.NotRunGuarantee.of([])),
        presumeRun: () => {
          mayHaveRun = true;
        },
        lastHeardAt: 5,
      },
      reply: {
        complete: () => ({ kind: 'passedOn' }),
        fail: (status) => this.effects.push(`fail ${status}`),
        refuse: (_guarantee, retryAfterMs) => this.effects.push(`refuse ${retryAfterMs}`),
      },
      requestLog: {
        failed: ({ reason, detail, lastHeardAt }: exchangeLog.Failure) =>
          this.effects.push(`failed ${reason}: ${detail}, ${lastHeardAt}`),
        refused: (_guarantee, detail) => this.effects.push(`refused: ${detail}`),
        callerGone: () => this.effects.push('callerGone'),
      },
      audit: { refused: (id) => this.effects.push(`audit ${id}`) },
      unavailableForMs: () => 700,
      interrupt: ({ kind }) => this.effects.push(`interrupt ${kind}`),
    });
  }
}

const FAILED: outcomes.Outcome = { kind: 'failed', ending: 'broken', detail: 'cut', isCut: true };
const UNPLACED: outcomes.Outcome = { kind: 'unplaced', detail: 'full', retryAfterMs: 250 };

/** The effects of one way to end a response. */
function effectsOf(isRun: boolean, act: (end: responseEnd.ResponseEnd) => void): string[] {
  const { end, effects } = new Recorder(isRun);
  act(end);
  return effects;
}

describe('the end of a response', () => {
  it('refuses with the time to come back if no target can have run the request', () => {
    const refusals = [
      effectsOf(false, (end) => end.failAfter(UNPLACED)),
      effectsOf(false, (end) => end.failAfter(FAILED)),
      effectsOf(false, (end) => end.refuseSuspect({ kind: 'busy', isCopy: true })),
      effectsOf(false, (end) => end.refuseSuspect({ kind: 'quarantined', retryAfterMs: 900 })),
    ];
    expect(refusals).to.deep.equal([
      ['audit r', 'refused: full', 'refuse 250'],
      ['audit r', 'refused: cut', 'refuse 700'],
      ['audit r', 'refused: another request with the same fingerprint is running', 'refuse 500'],
      ['audit r', 'refused: quarantined: a part of its prompt crashed targets', 'refuse 900'],
    ]);
  });

  it('fails if a target may have run the request, or a copy of it was quarantined', () => {
    const failures = [
      effectsOf(true, (end) => end.failAfter(FAILED)),
      effectsOf(true, (end) => end.failUnexpectedly()),
      effectsOf(false, (end) =>
        end.refuseSuspect({ kind: 'quarantined', retryAfterMs: undefined }),
      ),
    ];
    expect(failures).to.deep.equal([
      ['failed noTarget: cut, 5', 'fail 502'],
      ['failed internalError: internal error, 5', 'fail 502'],
      ['failed noTarget: quarantined: it crashed targets, 5', 'fail 502'],
    ]);
  });

  it('answers 504 at the deadline, and stops the attempt', () => {
    expect(effectsOf(true, (end) => end.deadlinePassed())).to.deep.equal([
      'failed deadline: deadline exceeded, 5',
      'fail 504',
      'interrupt late',
    ]);
  });

  it('answers nobody once the caller has left', () => {
    const effects = effectsOf(true, (end) => {
      end.callerLeft();
      end.callerLeft();
      end.deadlinePassed();
      end.failAfter(FAILED);
      end.failUnexpectedly();
    });
    expect(effects).to.deep.equal(['callerGone', 'interrupt gone']);
  });

  it('happens once', () => {
    const effects = effectsOf(true, (end) => {
      end.failAfter(FAILED);
      end.failAfter(FAILED);
      end.deadlinePassed();
      end.callerLeft();
      expect(end.isOver).to.equal(true);
    });
    expect(effects).to.deep.equal(['failed noTarget: cut, 5', 'fail 502']);
  });

  it('does not follow a response that was sent whole', () => {
    const recorder = new Recorder(true);
    recorder.writableFinished = true;
    recorder.end.callerLeft();
    recorder.end.deadlinePassed();
    expect([recorder.effects, recorder.end.isOver]).to.deep.equal([[], false]);
  });
});
