/** The Retry-After that callers get when no target takes their requests. */

/** Bounds of the Retry-After that callers get when targets are full or limited, milliseconds. */
export const RETRY_AFTER_MS = { min: 200, max: 2_000 } as const;

/** Retry-After where the service has no target, milliseconds. */
export const NO_TARGET_RETRY_MS = 500;

/** Retry-After where rate limits block all targets, milliseconds; the wait is unknown while there is no leader. */
export function limitRetryAfterMs({ waitMs }: { waitMs: number }): number {
  return clampRetryAfterMs(Number.isFinite(waitMs) ? waitMs : NO_TARGET_RETRY_MS);
}

/** Clamps a Retry-After to `RETRY_AFTER_MS`. */
export function clampRetryAfterMs(ms: number): number {
  const { min, max } = RETRY_AFTER_MS;
  return Math.round(Math.min(max, Math.max(min, ms)));
}
