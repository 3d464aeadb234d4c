/** Errors that nobody handled. */
import { EventEmitter } from 'node:events';
import * as chai from 'chai';
import * as unexpectedErrors from '../unexpectedErrors';

const { expect } = chai;

const START_EXIT = 3;

function setup() {
  const source = new EventEmitter();
  const lines: string[] = [];
  const logged: Record<string, unknown>[] = [];
  const counted: string[] = [];
  const exits: number[] = [];
  const clock = { now: 0 };
  const errors = new unexpectedErrors.UnexpectedErrors(
    {
      now: () => clock.now,
      exit: (code) => exits.push(code),
      writeLine: (line) => lines.push(line),
    },
    START_EXIT,
  );
  errors.listen(source);
  const observe = {
    log: (event: string, fields: Record<string, unknown> = {}) => logged.push({ event, ...fields }),
    count: (metric: string) => counted.push(metric),
  };
  return { source, lines, logged, counted, exits, clock, errors, observe };
}

describe('unexpected errors', () => {
  // Guards against an entry that ends, with all its open requests, at a rejection or an exception of one of them.
  it('are logged with their stack and counted, and the process goes on', () => {
    const { source, logged, counted, exits, errors, observe } = setup();
    errors.reportTo(observe);
    errors.exitCode = undefined;
    source.emit('unhandledRejection', new Error('late'));
    source.emit('uncaughtException', new Error('x'.repeat(100_000)));
    expect(exits).to.deep.equal([]);
    expect(counted).to.deep.equal(['errors.unexpected.rejection', 'errors.unexpected.exception']);
    expect(logged.map(({ event }) => event)).to.deep.equal(['crashed', 'crashed']);
    expect(logged[0].detail).to.match(/^Error: late\n +at .*unexpectedErrors\.test/);
    expect(logged[1].detail).to.have.length(4_096);
  });

  // Guards against a keeper that goes on with half a step applied; a rejection leaves no such step.
  it('end a process that has an exit code, after an exception only, and leave a line first', () => {
    const { source, logged, exits, errors, observe } = setup();
    errors.reportTo(observe);
    errors.exitCode = 5;
    source.emit('unhandledRejection', new Error('a'));
    expect(exits).to.deep.equal([]);
    for (let i = 0; i < 20; i++) source.emit('unhandledRejection', new Error('b'));
    source.emit('uncaughtException', new Error('c'));
    expect(exits).to.deep.equal([5]);
    expect(logged.at(-1)).to.include({ source: 'exception', withheld: 11 });
  });

  // Guards against a process that ends, or never starts, without a word because it has no log yet.
  it('are written to standard error before there is a log', () => {
    const { source, lines, exits } = setup();
    source.emit('unhandledRejection', new Error('early'));
    expect(lines[0]).to.match(/rejection\): Error: early/);
    expect(exits).to.deep.equal([]);
    source.emit('uncaughtException', new Error('early'));
    expect(exits).to.deep.equal([START_EXIT]);
  });

  // Guards against a log that a repeated error fills, and against an end by a value that isn't an error.
  it('leave a bounded number of lines, whatever is thrown', () => {
    const { source, logged, counted, clock, errors, observe } = setup();
    errors.reportTo(observe);
    errors.exitCode = undefined;
    const fail = (): never => {
      throw new Error('b');
    };
    const hostile = new Proxy({}, { getPrototypeOf: fail });
    const unreadable = Object.defineProperty(new Error('a'), 'stack', { get: fail });
    const values = [null, undefined, Symbol('a'), Object.create(null), unreadable, hostile];
    for (let i = 0; i < 100; i++) source.emit('unhandledRejection', values[i % values.length]);
    expect(counted).to.have.length(100);
    expect(logged).to.have.length(10);
    clock.now += 1_000;
    source.emit('uncaughtException', 'text');
    expect(logged[10]).to.include({ detail: "'text'", withheld: 90 });
  });
});
