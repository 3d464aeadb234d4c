/**
 * Challenge-response authentication between daemons, for deployments without mutual TLS. Each side sends
 * a random challenge and answers the other's with an HMAC under the shared secret. The secret is never
 * transmitted, and a response can't be replayed on another connection.
 */
import * as crypto from 'node:crypto';

export function createNonce(): string {
  return crypto.randomBytes(16).toString('hex');
}

export function responseTo(secret: string, side: 'caller' | 'callee', nonce: string): string {
  return crypto.createHmac('sha256', secret).update(`${side}/${nonce}`).digest('hex');
}

export function isEqualInConstantTime(a: string, b: string): boolean {
  const left = crypto.createHash('sha256').update(a).digest();
  const right = crypto.createHash('sha256').update(b).digest();
  return crypto.timingSafeEqual(left, right);
}
