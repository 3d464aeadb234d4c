export * as reporterStanding from './reporterStanding';
export * as targetPaths from './targetPaths';
export * as withheldTargets from './withheldTargets';
