/** Draws the losses of keepers in turn at the end of a run; `keeperLosses` carries them out. */
import * as domain from '@celerydrift/domain';

/** What happens to a keeper in a series of losses. */
export interface KeeperLoss {
  /** Time from the election of a leader, or from the end of the wait below, to the loss in seconds. */
  afterSeconds: number;
  /** Whether to wait until the first VM that was lost no longer counts as lost. */
  awaitsFirst: boolean;
  /** Whether its disk is lost too, or it merely restarts. */
  isWiped: boolean;
}

/**
 * Losses of keepers in turn after all other faults, each of the one that leads, as soon as the number of losses that the
 * fleet tolerates at once allows.
 */
export interface LossSeries {
  losses: KeeperLoss[];
  /** Whether another keeper is down all the while, so that one loss less is tolerated beside it. */
  hasAbsentKeeper: boolean;
}

const LOSS_SERIES_SEED_OFFSET = 8_000_003;
/** Shares of the runs that end with losses of disks in turn, and with restarts in turn while a keeper is down. */
const WIPE_SERIES_SHARE = 0.4;
const ABSENT_KEEPER_SHARE = 0.2;
/** Number of restarts in turn; a leader with a lost disk before is elected in one of a few. */
const RESTARTS = 4;
/** How long a leader leads before it is lost: just long enough to count a voter's silence, or shorter. */
const TENURE_SECONDS = { min: 0.2, max: 1.95 } as const;
/** Time from when the first VM ceases to count as lost to the next loss. */
const LOSS_MARGIN_SECONDS = 0.05;

export function draw(seed: number): LossSeries | undefined {
  const random = domain.shared.random.independent(seed + LOSS_SERIES_SEED_OFFSET);
  const drawn = random.uniform();
  const { min, max } = TENURE_SECONDS;
  const tenure = min + (max - min) * random.uniform();
  const first = { afterSeconds: 0, awaitsFirst: false, isWiped: true };
  const afterFirst = { afterSeconds: LOSS_MARGIN_SECONDS, awaitsFirst: true };
  if (drawn < WIPE_SERIES_SHARE) {
    const second = { afterSeconds: tenure, awaitsFirst: false, isWiped: true };
    const losses = [first, second, { ...afterFirst, isWiped: true }];
    return { losses, hasAbsentKeeper: false };
  }
  if (drawn >= WIPE_SERIES_SHARE + ABSENT_KEEPER_SHARE) return undefined;
  const restarts = Array.from({ length: RESTARTS }, () => ({ ...afterFirst, isWiped: false }));
  return { losses: [first, ...restarts], hasAbsentKeeper: true };
}
