/**
 * Splits a stream of server-sent events at event boundaries. Only whole events are passed on, so a
 * target that breaks off within an event leaves nothing that a continuation would repeat.
 */

const LF = 0x0a;
const CR = 0x0d;

const ID_FIELD = Buffer.from('id:');

/** Whole events that can be passed on, and the id of the last of them. */
export interface SplitEvents {
  bytes: Buffer;
  events: number;
  /** Undefined where none of these events has an id. */
  lastId: string | undefined;
}

/** End of the event that starts `bytes`, or -1 while it is incomplete. */
function endOfEvent(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LF, from); at !== -1; at = bytes.indexOf(LF, at + 1)) {
    if (bytes[at + 1] === LF) return at + 2;
    if (bytes[at + 1] === CR && bytes[at + 2] === LF) return at + 3;
  }
  return -1;
}

function idOf(event: Buffer): string | undefined {
  let start = 0;
  while (start < event.length) {
    const found = event.indexOf(LF, start);
    const end = found === -1 ? event.length : found;
    const line = event.subarray(start, end);
    if (line.subarray(0, ID_FIELD.length).equals(ID_FIELD)) {
      return line.subarray(ID_FIELD.length).toString('latin1').trim();
    }
    start = end + 1;
  }
  return undefined;
}

/** Bytes before the end of an incomplete event that may belong to its boundary. */
const BOUNDARY_BYTES = 2;

const NONE = Buffer.alloc(0);

export class EventSplitter {
  /** Holds the incomplete event; grows by doubling, as an event may arrive in many small parts. */
  private store: Buffer = NONE;

  private length = 0;

  /** Whether an incomplete event is buffered. */
  get isInsideEvent(): boolean {
    return this.partialBytes > 0;
  }

  /** Bytes of the incomplete event. */
  get partialBytes(): number {
    return this.length;
  }

  /** Memory that the incomplete event takes, bytes. */
  get heldBytes(): number {
    return this.store.length;
  }

  push(chunk: Buffer): SplitEvents {
    const scannedBytes = Math.max(0, this.length - BOUNDARY_BYTES);
    const all = this.length === 0 ? chunk : this.append(chunk);
    let end = 0;
    let events = 0;
    let lastId: string | undefined;
    for (let next = endOfEvent(all, scannedBytes); next !== -1; next = endOfEvent(all, end)) {
      lastId = idOf(all.subarray(end, next)) ?? lastId;
      events += 1;
      end = next;
    }
    if (events > 0 || all === chunk) this.keep(all.subarray(end));
    return { bytes: all.subarray(0, end), events, lastId };
  }

  private append(chunk: Buffer): Buffer {
    const { store, length } = this;
    this.length += chunk.length;
    if (this.length > store.length) {
      this.store = Buffer.alloc(Math.max(this.length, 2 * store.length));
      store.copy(this.store, 0, 0, length);
    }
    chunk.copy(this.store, length);
    return this.store.subarray(0, this.length);
  }

  /** Copies the rest, so that neither a long chunk nor events that are passed on are kept with it. */
  private keep(rest: Buffer): void {
    this.length = rest.length;
    this.store = rest.length === 0 ? NONE : Buffer.from(rest);
  }
}
