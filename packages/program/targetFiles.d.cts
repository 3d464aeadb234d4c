/** Replaces a file as a whole. */
export type Replace = (file: string, content: string | Buffer) => void;

/** Writes the loader and the program into a folder, each file by `replace`. */
export function writeTarget(folder: string, program: string | Buffer, replace?: Replace): void;
