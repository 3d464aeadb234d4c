/** Output for people as tables, for programs as JSON. */
import Table from 'cli-table3';

export function json(content: unknown): void {
  process.stdout.write(`${JSON.stringify(content, null, 2)}\n`);
}

export function line(text: string): void {
  process.stdout.write(`${text}\n`);
}

export function table(head: string[], rows: string[][]): void {
  const made = new Table({ head, style: { head: [], border: [] } });
  made.push(...rows);
  process.stdout.write(`${made.toString()}\n`);
}

export function problem(text: string): void {
  process.stderr.write(`celerydrift: ${text}\n`);
}
