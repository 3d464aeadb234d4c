/**
 * Checks the guarantees of the fleet against what was observed from outside. Guarantees without a time bound always
 * hold; those with one hold only for processes that weren't disturbed, which each check takes into account.
 */
import * as answerChecks from './answerChecks';
import * as limitChecks from './limitChecks';
import * as memoryChecks from './memoryChecks';
import type * as observations from './observations';
import * as quarantineChecks from './quarantineChecks';
import * as recoveryChecks from './recoveryChecks';
import * as settingsChecks from './settingsChecks';
import * as targetChecks from './targetChecks';
import type * as violation from './violation';

const CHECKS: violation.Check[] = [
  answerChecks.wrongAnswers,
  answerChecks.executions,
  answerChecks.hungRequests,
  settingsChecks.deniedRequests,
  settingsChecks.versionRegressions,
  settingsChecks.staleCatalogues,
  settingsChecks.conflictingDocuments,
  settingsChecks.lostDocuments,
  settingsChecks.revokedKeyRuns,
  targetChecks.drainedTargetRuns,
  targetChecks.evacuatedTargetRuns,
  targetChecks.lostEvacuations,
  answerChecks.requestsCutByStops,
  answerChecks.streamsCut,
  quarantineChecks.quarantineBypasses,
  quarantineChecks.falselyRefusedCrashers,
  limitChecks.limitOverruns,
  limitChecks.backOffBreaches,
  targetChecks.drainingTargetRuns,
  recoveryChecks.unservedWithoutPaths,
  limitChecks.takenLimits,
  memoryChecks.exceededMemory,
  memoryChecks.leftReservations,
  recoveryChecks.unrecoveredService,
];

export function violations(observed: observations.Observations): violation.Violation[] {
  return CHECKS.flatMap((check) => check(observed));
}
