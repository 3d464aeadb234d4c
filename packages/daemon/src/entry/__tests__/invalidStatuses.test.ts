/** Responses whose status isn't one of HTTP. */
import * as chai from 'chai';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const RESPOND: harness.TargetBehaviour = (_request, socket) =>
  socket.write(harness.answer('elsewhere'));

describe('a response with an invalid status', () => {
  ['000', '099', '20', '600', '999'].forEach((status) => {
    // Guards against bytes that are no answer and that callers get as one.
    it(`is no answer, with ${status}`, async () => {
      const invalid: harness.TargetBehaviour = (_request, socket) =>
        socket.write(harness.answer('invalid', status as unknown as number));
      const setup = await harness.TestHarness.start(invalid, RESPOND);
      const unsafe = await setup.send('/unsafe/1');
      const stream = await setup.send('/streaming/1');
      const repeated = await setup.send('/safe/1');
      setup.stop();
      expect([unsafe.status, unsafe.body, repeated.status, repeated.body]).to.deep.equal([
        ...[502, '', 200, 'elsewhere'],
      ]);
      expect(stream.body).to.not.contain('invalid');
    });
  });
});
