/** Kinds of command-line errors and their exit codes. */

export type Kind = 'usage' | 'unreachable' | 'refused' | 'conflict' | 'invalid' | 'timeout';

export interface CommandError {
  kind: Kind;
  message: string;
}

export const EXIT_CODE: Record<Kind, number> = {
  usage: 2,
  invalid: 2,
  conflict: 3,
  refused: 4,
  unreachable: 5,
  timeout: 6,
};
