/** Writes tables and lines for people and JSON for programs to stdout, and errors to stderr. */
import Table from 'cli-table3';

export function json(content: unknown): void {
  process.stdout.write(`${JSON.stringify(content, null, 2)}\n`);
}

export function line(text: string): void {
  process.stdout.write(`${text}\n`);
}

export function table(head: string[], rows: string[][]): void {
  const rendered = new Table({ head, style: { head: [], border: [] } });
  rendered.push(...rows);
  process.stdout.write(`${rendered.toString()}\n`);
}

export function error(text: string): void {
  process.stderr.write(`celerydrift: ${text}\n`);
}
