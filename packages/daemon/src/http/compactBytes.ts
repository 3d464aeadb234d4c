/**
 * Collects bytes that arrive in parts of any size. A Buffer takes some hundred bytes besides its content, so small parts
 * are copied into blocks; what is allocated stays below twice the content and a small block.
 */

/** A part of at least this size is kept as it is, bytes. */
const LARGE_PART_BYTES = 4_096;

/** Sizes of the first block and of the largest, bytes; each block is as large as all before it. */
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

/** Whether a part would keep much more memory alive than its own: that of all that was read with it. */
function isSmallShare(part: Buffer): boolean {
  return part.buffer.byteLength > MIN_BLOCK_BYTES + 2 * part.length;
}

export class CompactBytes {
  private parts: Buffer[] = [];

  /** The block that small parts are copied into, which isn't in `parts` yet. */
  private block: Buffer | undefined;

  private usedBytes = 0;

  private contentBytes = 0;

  private allocated = 0;

  get length(): number {
    return this.contentBytes;
  }

  /** Memory that the parts take, bytes. */
  get allocatedBytes(): number {
    return this.allocated;
  }

  append(part: Buffer): void {
    // Most bodies are a single part. A large part within a block is copied too, as its rest would stay unused.
    const isLarge = part.length >= LARGE_PART_BYTES || this.contentBytes === 0;
    const isKept = isLarge && this.block === undefined && !isSmallShare(part);
    this.contentBytes += part.length;
    if (isKept) this.keep(part);
    else this.copy(part);
  }

  /** All bytes in one Buffer. */
  join(): Buffer {
    this.closeBlock();
    return this.parts.length === 1 ? this.parts[0] : Buffer.concat(this.parts);
  }

  /** All bytes in few parts, which aren't held here any more. */
  take(): Buffer[] {
    this.closeBlock();
    const { parts } = this;
    this.clear();
    return parts;
  }

  clear(): void {
    this.parts = [];
    this.block = undefined;
    this.usedBytes = 0;
    this.contentBytes = 0;
    this.allocated = 0;
  }

  private keep(part: Buffer): void {
    this.parts.push(part);
    this.allocated += part.length;
  }

  private copy(part: Buffer): void {
    let copied = 0;
    while (copied < part.length) {
      this.block ??= this.newBlock();
      const bytes = part.copy(this.block, this.usedBytes, copied);
      copied += bytes;
      this.usedBytes += bytes;
      if (this.usedBytes === this.block.length) this.closeBlock();
    }
  }

  private newBlock(): Buffer {
    const bytes = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.allocated));
    this.allocated += bytes;
    return Buffer.allocUnsafeSlow(bytes);
  }

  private closeBlock(): void {
    if (this.block === undefined) return;
    this.parts.push(this.block.subarray(0, this.usedBytes));
    this.block = undefined;
    this.usedBytes = 0;
  }
}
