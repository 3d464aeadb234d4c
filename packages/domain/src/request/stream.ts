/**
 * Validates a streamed answer. Every frame names its request and position; only a frame of this
 * request at the next position is passed on, and only the terminal frame completes the answer. This
 * guards against an engine that answers on a connection previously used for another request, which
 * would show the caller another caller's text, and against a stream that ends early, which would
 * pass for a complete answer.
 */

export interface Frame {
  request: string;
  /** Number of tokens before this frame. */
  position: number;
  text: string;
  tokens: number;
  last: boolean;
}

/**
 * Result of the check of one frame; `crossed` is a frame of another request, `gap` one after lost
 * frames.
 */
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

  /** Continues with a new attempt after the tokens already passed on. */
  continueAs(request: string): void {
    this.request = request;
  }

  accept(frame: Frame): Finding {
    if (frame.request !== this.request) return { kind: 'crossed' };
    if (this.isComplete || frame.position < this.position) return { kind: 'repeated' };
    if (frame.position > this.position) return { kind: 'gap' };
    this.position += frame.tokens;
    this.text += frame.text;
    this.isComplete = frame.last;
    return { kind: 'next', text: frame.text, last: frame.last };
  }
}
