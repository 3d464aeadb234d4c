/** Types of the verdict on test runs. */
interface Titled {
  fullTitle: string;
}
export function listed(text: string): string[];
export function verdict(run: { passes: Titled[]; failures: Titled[] }, known: string[]): string[];
