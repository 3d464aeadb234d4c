/** Types of the verdict on test runs. */
interface TestResult {
  fullTitle: string;
}
export function parseTitles(text: string): string[];
export function findProblems(
  run: { passes: TestResult[]; failures: TestResult[] },
  known: string[],
): string[];
