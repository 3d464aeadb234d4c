/** Types of the check of test runs against the list of known failures. */
interface TestResult {
  fullTitle: string;
}
export function parseTitles(text: string): string[];
export function findProblems(
  run: { passes: TestResult[]; failures: TestResult[] },
  listed: string[],
): string[];

/** Summary of a soak, its last line of output. */
export interface SoakSummary {
  failed: { seed: number; broken: Record<string, number> }[];
}

export function parseSoakSeeds(text: string): string[];
export function findSoakProblems(summary: SoakSummary, listed: readonly string[]): string[];

/** The results in the contents of several reports as one; undefined if a run wrote no report. */
export function mergeResults(
  reports: string[],
): { passes: TestResult[]; failures: TestResult[] } | undefined;
