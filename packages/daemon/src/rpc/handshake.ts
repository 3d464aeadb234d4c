/**
 * Mutual authentication at the start of a connection between daemons. The callee sends a challenge; the caller answers
 * it and sends its own, and says what the connection will carry; the callee's answer, with the same carrier, ends the
 * handshake.
 */
import * as challengeResponse from './challengeResponse';
import * as framing from './framing';

/** What a connection carries after the handshake: JSON-RPC frames, or HTTP/1.1. */
export type Carrier = 'rpc' | 'http';

export interface Handshake {
  /** The sender's challenge. */
  nonce?: string;
  /** Response to the receiver's challenge. */
  answer?: string;
  /** Absent for JSON-RPC, and from daemons of an earlier version. */
  carrier?: Carrier;
}

/** Longest frame accepted before a connection is authenticated. */
export const MAX_HANDSHAKE_FRAME_BYTES = 1_024;

/** The caller's side of a handshake. */
export class CallerHandshake {
  private readonly nonce = challengeResponse.createNonce();

  constructor(
    private readonly secret: string,
    private readonly carrier: Carrier,
  ) {}

  /** Handles a frame of the callee; returns the frame to send, or whether the callee is authenticated. */
  handle(value: unknown): Buffer | 'authenticated' | 'rejected' {
    const { nonce, answer, carrier = 'rpc' } = value as Handshake;
    if (nonce !== undefined) {
      const response = challengeResponse.responseTo(this.secret, 'caller', nonce);
      const isRpc = this.carrier === 'rpc';
      const reply: Handshake = { nonce: this.nonce, answer: response };
      return framing.encode(isRpc ? reply : { ...reply, carrier: this.carrier });
    }
    const expected = challengeResponse.responseTo(this.secret, 'callee', this.nonce);
    const isGenuine = challengeResponse.isEqualInConstantTime(String(answer), expected);
    // A daemon of an earlier version answers for JSON-RPC whatever it was asked for.
    return isGenuine && carrier === this.carrier ? 'authenticated' : 'rejected';
  }
}
