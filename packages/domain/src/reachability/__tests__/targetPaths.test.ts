/** Which failed connections point to lost paths of this VM, and which to targets that are down. */
import * as chai from 'chai';
import * as targetPaths from '../targetPaths';

const { expect } = chai;

/** Six engines and two plain targets in two data centres. */
const TARGETS: targetPaths.Endpoint[] = [0, 1, 2, 3, 4, 5, 6, 7].map((i) => ({
  id: `t${i}`,
  service: i < 6 ? 'engines' : 'plain',
  dataCentre: i % 2 === 0 ? 'east' : 'west',
}));

/** Targets that messages reach by way of another VM only. */
function lostOf(paths: targetPaths.TargetPaths): string[] {
  return TARGETS.filter((each) => paths.isLost(each)).map(({ id }) => id);
}

function failAll(paths: targetPaths.TargetPaths, ids: readonly number[], now: number): void {
  ids.forEach((i) => paths.failed(TARGETS[i], now));
}

describe('paths to targets', () => {
  let paths: targetPaths.TargetPaths;

  beforeEach(() => {
    paths = new targetPaths.TargetPaths(() => TARGETS);
  });

  /** Guards against a VM that takes a crashed target for a fault of its own paths. */
  it('are not lost because one target fails', () => {
    failAll(paths, [0, 0, 0], 10);
    expect(lostOf(paths)).to.deep.equal([]);
  });

  /** Guards against a target that crashes repeatedly, under a new id each time, and is taken for several targets. */
  it('are not lost because several lifetimes of one target fail', () => {
    paths = new targetPaths.TargetPaths(() => TARGETS.slice(0, 1));
    ['t0-1', 't0-2', 't0-3', 't0'].forEach((id, i) => paths.failed({ ...TARGETS[0], id }, i));
    expect(paths.scopes).to.deep.equal([]);
  });

  /** Guards against engines that crash together and are taken for lost paths, although others respond. */
  it('are not lost while others of the same scope respond to what is sent between the failures', () => {
    paths.failed(TARGETS[0], 10);
    paths.responded(TARGETS[2], 11, 11);
    paths.failed(TARGETS[4], 12);
    paths.responded(TARGETS[3], 13, 13);
    paths.failed(TARGETS[1], 14);
    expect(lostOf(paths)).to.deep.equal([]);
  });

  /** Guards against a request that crashes one target after the other and is taken for lost paths. */
  it('are only suspected while two targets fail, and not if a third one responds', () => {
    failAll(paths, [0], 10);
    const changes = paths.failed(TARGETS[2], 11);
    expect(changes).to.deep.equal([{ scope: 'engines@east', change: 'suspected' }]);
    paths.responded(TARGETS[4], 12, 13);
    failAll(paths, [1, 3], 14);
    expect(lostOf(paths)).to.deep.equal([]);
  });

  /** Guards against a VM that goes on trying one target after the other although it reaches none. */
  it('to all targets are lost once targets of each service fail', () => {
    failAll(paths, [0, 1, 2, 3], 10);
    expect(lostOf(paths)).to.deep.equal(['t0', 't1', 't2', 't3', 't4', 't5']);
    expect(paths.isolatedSince).to.equal(undefined);
    paths.failed(TARGETS[6], 20);
    expect(paths.isolatedSince).to.equal(20);
    expect(lostOf(paths)).to.have.length(TARGETS.length);
  });

  /** Guards against the targets of one data centre that take those of the others along. */
  it('to one data centre leave the others direct', () => {
    failAll(paths, [0, 2, 4], 10);
    expect(lostOf(paths)).to.deep.equal(['t0', 't2', 't4']);
  });

  /** Guards against a path that is used again before a response shows that it is back, or that stays unused after. */
  it('are restored by a response, for its scopes at once', () => {
    failAll(paths, [0, 1, 2, 3, 6, 7], 10);
    const changes = paths.responded(TARGETS[2], 5_000, 5_000);
    const scopes = changes.map(({ scope, change }) => `${scope} ${change}`);
    expect(scopes).to.deep.equal(['all restored', 'engines restored']);
    expect(lostOf(paths)).to.deep.equal(['t6', 't7']);
  });

  /** Guards against a target that a VM doesn't reach and keeps choosing, as all others reach it. */
  it('to a single target are lost if another VM reaches it', () => {
    paths.failed(TARGETS[0], 10);
    paths.reachedElsewhere('t0', 12);
    expect(lostOf(paths)).to.deep.equal(['t0']);
    expect(paths.dueForProbe(3, 1_000, 500)).to.deep.equal([]);
    expect(paths.dueForProbe(3, 1_000, 1_100)).to.deep.equal(['t0']);
    paths.responded(TARGETS[0], 1_200, 1_200);
    expect(lostOf(paths)).to.deep.equal([]);
  });

  /** Guards against a scope that is lost and restored in turn while probes of known failures go on failing. */
  it('are not lost again by probes of targets that failed before', () => {
    failAll(paths, [0, 1], 10);
    ['t0', 't1'].forEach((id) => paths.reachedElsewhere(id, 20));
    paths.responded(TARGETS[2], 100, 100);
    failAll(paths, [0, 1], 1_200);
    expect(lostOf(paths)).to.deep.equal(['t0', 't1']);
  });

  /** Guards against lost paths that look restored because an old connection still conveys the end of a stream. */
  it('are not restored by responses to messages from before the loss', () => {
    failAll(paths, [0, 1, 2, 3], 10);
    paths.responded(TARGETS[0], 5, 20);
    paths.responded(TARGETS[2], 5, 20);
    expect(lostOf(paths)).to.have.length(6);
  });

  /** Guards against a crash of the only target of a service that is never counted as one. */
  it('to the only target of a service are not lost because it fails', () => {
    const single = new targetPaths.TargetPaths(() => [TARGETS[0], TARGETS[6]]);
    single.failed(TARGETS[6], 10);
    expect(single.isLost(TARGETS[6])).to.equal(false);
  });

  /** Guards against a crash that is taken for a lost path because both targets of a small data centre crashed. */
  it('to a service are sound while others of it respond, whatever is lost in one data centre', () => {
    failAll(paths, [0, 2, 4], 10);
    paths.responded(TARGETS[1], 11, 12);
    expect([paths.reachOf('engines', 11), paths.reachOf('engines', 12)]).to.deep.equal([
      'reached',
      'unknown',
    ]);
    const severed = new targetPaths.TargetPaths(() => TARGETS);
    failAll(severed, [0, 1, 2, 3], 10);
    expect(severed.reachOf('engines', 10)).to.equal('lost');
  });
});
