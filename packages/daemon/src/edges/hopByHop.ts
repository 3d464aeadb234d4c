/** Hop-by-hop headers (RFC 9110, section 7.6.1), which must not be forwarded. */
export const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
