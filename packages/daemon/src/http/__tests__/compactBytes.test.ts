/** Bytes collected from parts of all sizes. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as compactBytes from '../compactBytes';

const { expect } = chai;

/** Size of the first block, bytes. */
const SMALL_BLOCK = 1_024;

describe('compact bytes', () => {
  // Guards against small parts that take many times their content, and against bytes that are lost between parts.
  it('are those that arrived, in at most twice their memory', () => {
    const size = fc.oneof(fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 70_000 }));
    fc.assert(
      fc.property(fc.array(size, { maxLength: 60 }), (sizes) => {
        const tested = new compactBytes.CompactBytes();
        const parts = sizes.map((bytes, i) => Buffer.alloc(bytes, i + 1));
        parts.forEach((part) => {
          tested.append(part);
          expect(tested.allocatedBytes).to.be.at.most(2 * tested.length + SMALL_BLOCK);
        });
        expect(tested.join().equals(Buffer.concat(parts))).to.equal(true);
      }),
      { seed: 1 },
    );
  });

  // Guards against a byte that keeps all that was read with it, which isn't counted.
  it('keep nothing of what was read with a small part', () => {
    const read = Buffer.alloc(65_536);
    [1, 30_000].forEach((size) => {
      const tested = new compactBytes.CompactBytes();
      tested.append(read.subarray(0, size));
      const [part] = tested.take();
      expect(part.buffer.byteLength).to.be.at.most(2 * size + SMALL_BLOCK);
    });
  });

  it('take no memory once they are cleared', () => {
    const tested = new compactBytes.CompactBytes();
    for (let i = 0; i < 3_000; i++) tested.append(Buffer.from([i & 0xff]));
    tested.clear();
    expect([tested.length, tested.allocatedBytes, tested.join().length]).to.deep.equal([0, 0, 0]);
  });
});
