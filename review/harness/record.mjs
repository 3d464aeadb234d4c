/* eslint-disable */
/** The record of a run: what was sent, answered and run, in the order of the events. */
import * as fs from 'node:fs';

export class RunRecord {
  constructor(file) {
    Object.assign(this, { file, events: [], startedAt: Date.now() });
    this.add = (event) => this.events.push({ ms: Date.now() - this.startedAt, ...event });
  }

  /** Adds a remark. */
  note(text) {
    this.add({ event: 'note', text });
  }

  runsByRequest() {
    const runs = new Map();
    this.events
      .filter(({ event }) => event === 'ran')
      .forEach((each) => runs.set(each.request, [...(runs.get(each.request) ?? []), each]));
    return runs;
  }

  write(summary) {
    const lines = this.events.map((event) => JSON.stringify(event));
    fs.writeFileSync(this.file, [...summary, '', ...lines, ''].join('\n'));
  }
}
