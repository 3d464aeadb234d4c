/** Line diff of two settings texts, by longest common subsequence. */

export type Mark = ' ' | '-' | '+';

export interface Line {
  mark: Mark;
  text: string;
}

/** Length of the longest common subsequence of the lines from `i` and `j` on, as `table[i][j]`. */
function commonLengths(before: readonly string[], after: readonly string[]): number[][] {
  const table = Array.from({ length: before.length + 1 }, () =>
    new Array<number>(after.length + 1).fill(0),
  );
  for (let i = before.length - 1; i >= 0; i--) {
    const row = table[i];
    const next = table[i + 1];
    for (let j = after.length - 1; j >= 0; j--) {
      const isSame = before[i] === after[j];
      row[j] = isSame ? next[j + 1] + 1 : Math.max(next[j], row[j + 1]);
    }
  }
  return table;
}

/** Lines of both texts in order; a deletion comes before an insertion at the same place. */
export function diff(before: string, after: string): Line[] {
  const beforeLines = before === '' ? [] : before.split('\n');
  const afterLines = after === '' ? [] : after.split('\n');
  const remaining = commonLengths(beforeLines, afterLines);
  const lines: Line[] = [];
  let i = 0;
  let j = 0;
  while (i < beforeLines.length || j < afterLines.length) {
    const isCommon =
      i < beforeLines.length && j < afterLines.length && beforeLines[i] === afterLines[j];
    const afterDeletion = remaining[i + 1]?.[j] ?? -1;
    const afterInsertion = remaining[i]?.[j + 1] ?? -1;
    if (isCommon) {
      lines.push({ mark: ' ', text: beforeLines[i] });
      i += 1;
      j += 1;
    } else if (
      i < beforeLines.length &&
      (j >= afterLines.length || afterDeletion >= afterInsertion)
    ) {
      lines.push({ mark: '-', text: beforeLines[i] });
      i += 1;
    } else {
      lines.push({ mark: '+', text: afterLines[j] });
      j += 1;
    }
  }
  return lines;
}
