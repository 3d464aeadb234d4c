/** Types of the check of test runs against the list of known failures. */
interface TestResult {
  fullTitle: string;
}
export function parseTitles(text: string): string[];
export function findProblems(
  run: { passes: TestResult[]; failures: TestResult[] },
  listed: string[],
): string[];
