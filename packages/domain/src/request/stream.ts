/**
 * The check of a streamed answer. Every frame names its request and position; only a frame of this
 * request at the next position is passed on, and only the terminal frame makes the answer whole.
 * Failures guarded against: an engine answers on a connection that was used for another request, and
 * the caller would read a stranger's text; a stream ends early, and the caller would take a part for
 * the whole.
 */

export interface Frame {
  request: string;
  /** Count of tokens before this frame. */
  position: number;
  text: string;
  tokens: number;
  last: boolean;
}

export type Finding =
  | { kind: 'next'; text: string; last: boolean }
  | { kind: 'repeated' }
  | { kind: 'crossed' }
  | { kind: 'gap' };

export class StreamCheck {
  position = 0;

  text = '';

  isComplete = false;

  constructor(private request: string) {}

  /** A new attempt goes on from the tokens already passed on. */
  continueAs(request: string): void {
    this.request = request;
  }

  take(frame: Frame): Finding {
    if (frame.request !== this.request) return { kind: 'crossed' };
    if (this.isComplete || frame.position < this.position) return { kind: 'repeated' };
    if (frame.position > this.position) return { kind: 'gap' };
    this.position += frame.tokens;
    this.text += frame.text;
    this.isComplete = frame.last;
    return { kind: 'next', text: frame.text, last: frame.last };
  }
}
