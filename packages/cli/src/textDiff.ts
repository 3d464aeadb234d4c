/** A line difference of two settings texts, by longest common subsequence. */

export type Mark = ' ' | '-' | '+';

export interface Line {
  mark: Mark;
  text: string;
}

function lengths(a: readonly string[], b: readonly string[]): number[][] {
  const table = Array.from({ length: a.length + 1 }, () => new Array<number>(b.length + 1).fill(0));
  for (let i = a.length - 1; i >= 0; i--) {
    const row = table[i];
    const next = table[i + 1];
    for (let j = b.length - 1; j >= 0; j--) {
      const same = a[i] === b[j];
      row[j] = same ? next[j + 1] + 1 : Math.max(next[j], row[j + 1]);
    }
  }
  return table;
}

export function diff(before: string, after: string): Line[] {
  const a = before === '' ? [] : before.split('\n');
  const b = after === '' ? [] : after.split('\n');
  const table = lengths(a, b);
  const lines: Line[] = [];
  let i = 0;
  let j = 0;
  while (i < a.length || j < b.length) {
    const keep = i < a.length && j < b.length && a[i] === b[j];
    const down = table[i + 1]?.[j] ?? -1;
    const right = table[i]?.[j + 1] ?? -1;
    if (keep) {
      lines.push({ mark: ' ', text: a[i] });
      i += 1;
      j += 1;
    } else if (i < a.length && (j >= b.length || down >= right)) {
      lines.push({ mark: '-', text: a[i] });
      i += 1;
    } else {
      lines.push({ mark: '+', text: b[j] });
      j += 1;
    }
  }
  return lines;
}
