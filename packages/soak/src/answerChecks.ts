/** Checks that callers get whole, correct and true responses. */
import * as answers from './answers';
import * as cutStreams from './cutStreams';
import * as endings from './endings';
import * as faults from './faults';
import type * as observations from './observations';
import type * as violation from './violation';

type Observations = observations.Observations;
type Violation = violation.Violation;

export function wrongAnswers({ asked }: Observations): Violation[] {
  return asked.flatMap(({ request, path, ending }) => {
    if (ending.kind !== 'answered' || ending.status !== 200) return [];
    if (ending.isSigned && ending.body === answers.fullAnswer(request, path)) return [];
    const detail = `${request} ${path} received ${JSON.stringify(ending.body.slice(0, 200))}`;
    return [{ promise: 'wrongAnswer', detail }];
  });
}

export function executions({ asked, ran }: Observations): Violation[] {
  const counts = new Map<string, number>();
  ran.forEach(({ request }) => counts.set(request, (counts.get(request) ?? 0) + 1));
  return asked
    .filter(({ kind }) => kind === 'unsafe')
    .flatMap(({ request, ending }): Violation[] => {
      const count = counts.get(request) ?? 0;
      if (count > 1) return [{ promise: 'ranTwice', detail: `${request} ran ${count} times` }];
      const isReportedNotRun =
        ending.kind === 'answered' && endings.NOT_RUN_STATUSES.has(ending.status);
      return isReportedNotRun && count > 0
        ? [{ promise: 'falseNotRun', detail: `${request} ran and received ${ending.status}` }]
        : [];
    });
}

export function hungRequests(observed: Observations): Violation[] {
  return [...observed.asked, ...observed.crashers]
    .filter(({ ending }) => ending.kind === 'hung')
    .filter((each) => !faults.isDisturbed(observed, 'entry', each.entry, each.sentAt, each.endedAt))
    .map(({ request, entry }) => ({ promise: 'hung', detail: `${request} at entry ${entry}` }));
}

/** A request that a stopping entry had forwarded must get its complete response, unless its target was disturbed. */
export function requestsCutByStops(observed: Observations): Violation[] {
  const ran = new Map(observed.ran.map((each) => [each.request, each]));
  return observed.stopped.flatMap(({ entry, incarnation, from, until }) => {
    const cut = observed.asked.filter((each) => {
      const isSameProcess = each.entry === entry && each.incarnation === incarnation;
      return isSameProcess && each.ending.kind === 'broken' && each.endedAt > from;
    });
    return cut
      .filter(
        ({ request }) =>
          ran.has(request) && !faults.isTargetDisturbed(observed, ran.get(request)?.target),
      )
      .filter(
        ({ sentAt }) =>
          !faults.isDisturbed(observed, 'entry', entry, sentAt - faults.SETTLING_MS, until),
      )
      .filter(
        ({ sentAt }) => !faults.isSevered(observed, entry, sentAt - faults.SETTLING_MS, until),
      )
      .map(({ request }) => ({ promise: 'cutByStop', detail: `${request} at entry ${entry}` }));
  });
}

export function streamsCut(observed: Observations): Violation[] {
  return cutStreams.find(observed).map(({ request, entry, sentAt, endedAt }) => {
    const detail = `${request} at entry ${entry} after ${endedAt - sentAt} ms`;
    return { promise: 'streamCut', detail };
  });
}
