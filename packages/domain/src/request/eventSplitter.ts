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

export class EventSplitter {
  private partialEvent: Buffer = Buffer.alloc(0);

  /** Whether an incomplete event is buffered. */
  get isInsideEvent(): boolean {
    return this.partialEvent.length > 0;
  }

  push(chunk: Buffer): SplitEvents {
    const all = this.partialEvent.length === 0 ? chunk : Buffer.concat([this.partialEvent, chunk]);
    let end = 0;
    let events = 0;
    let lastId: string | undefined;
    for (let next = endOfEvent(all, 0); next !== -1; next = endOfEvent(all, end)) {
      lastId = idOf(all.subarray(end, next)) ?? lastId;
      events += 1;
      end = next;
    }
    this.partialEvent = all.subarray(end);
    return { bytes: all.subarray(0, end), events, lastId };
  }
}
