/** How often a run put the guarantee of a refusal to the test; a run without such cases shows nothing about it. */
import * as endings from './endings';
import * as lateCopies from './lateCopies';
import type * as observations from './observations';

/** Second copies of answers that targets sent, by form, and numbers of unsafe calls. */
export type RefusalCounts = Record<
  | lateCopies.Form
  /** Their answer was due where a copy was sent. */
  | 'metCopy'
  /** Of these, refused as not run. */
  | 'refusedAfterCopy'
  /** Refused as not run after a target had received them. */
  | 'refusedAfterArrival',
  number
>;

export function count({ asked, ran, refused, copied }: observations.Observations): RefusalCounts {
  const unsafe = asked.filter(({ kind }) => kind === 'unsafe');
  const unsafeRefused = unsafe.filter(({ ending }) => {
    return ending.kind === 'answered' && endings.NOT_RUN_STATUSES.has(ending.status);
  });
  const met = new Set(copied.map(({ request }) => request));
  const arrived = new Set([...ran, ...refused].map(({ request }) => request));
  const copies = lateCopies.FORMS.map((form) => {
    return [form, copied.filter((each) => each.form === form).length];
  });
  return {
    ...(Object.fromEntries(copies) as Record<lateCopies.Form, number>),
    metCopy: unsafe.filter(({ request }) => met.has(request)).length,
    refusedAfterCopy: unsafeRefused.filter(({ request }) => met.has(request)).length,
    refusedAfterArrival: unsafeRefused.filter(({ request }) => arrived.has(request)).length,
  };
}

export function sum(counts: readonly RefusalCounts[]): RefusalCounts {
  return counts.reduce((total, each) => {
    const names = Object.keys(total) as (keyof RefusalCounts)[];
    const sums = names.map((name) => [name, total[name] + each[name]]);
    return Object.fromEntries(sums) as RefusalCounts;
  });
}
