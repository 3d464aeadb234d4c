/**
 * Engines of a service in cells, so that what a choice costs doesn't grow with the fleet. A plan asks each engine what the prompt
 * would spoil there; with 3,000 engines that takes longer than the next prompt takes to come, and prompts wait seconds for a place
 * while most engines are idle. Within a cell the plan stays as good as in a small fleet: short prompts are packed
 * together, and there are enough engines to divide a long one.
 */
import type * as load from './load';

/** A service with no more engines than this is one cell; a plan over them takes half a millisecond. */
const MAX_SINGLE_CELL_ENGINES = 256;

/** Engines of a cell in a larger service: some seven times what the longest prompt is divided among. */
const ENGINES_PER_CELL = 128;

/** Cells that are asked together where the first one has no good place. */
const CELLS_PER_CHOICE = 3;

/** Engines of one data centre; each stays in its cell for its lifetime. */
class DataCentre {
  readonly cells: load.Load[][] = [];

  add(engine: load.Load): void {
    const withRoom = this.cells.find(({ length }) => length < ENGINES_PER_CELL);
    if (withRoom === undefined) this.cells.push([engine]);
    else withRoom.push(engine);
  }

  remove(engine: load.Load): void {
    const cell = this.cells.find((each) => each.includes(engine));
    if (cell === undefined) return;
    cell.splice(cell.indexOf(engine), 1);
    if (cell.length === 0) this.cells.splice(this.cells.indexOf(cell), 1);
  }
}

/** What a choice looks at: the cell that is asked first, undefined where all are asked at once, and all that may be asked. */
export interface Scope {
  first: readonly load.Load[] | undefined;
  all: readonly load.Load[];
}

export class Cells {
  private readonly engines = new Set<load.Load>();

  private readonly dataCentres = new Map<string, DataCentre>();

  /** Cells are asked in turn, so that prompts that come together spread. */
  private nextCell = 0;

  get size(): number {
    return this.engines.size;
  }

  /** Most engines that one choice asks. */
  get maxCandidates(): number {
    return this.size <= MAX_SINGLE_CELL_ENGINES ? this.size : ENGINES_PER_CELL * CELLS_PER_CHOICE;
  }

  add(engine: load.Load): void {
    this.engines.add(engine);
    const { dataCentre: name } = engine.record;
    const dataCentre = this.dataCentres.get(name) ?? new DataCentre();
    this.dataCentres.set(name, dataCentre);
    dataCentre.add(engine);
  }

  remove(engine: load.Load): void {
    if (!this.engines.delete(engine)) return;
    this.dataCentres.get(engine.record.dataCentre)?.remove(engine);
  }

  all(): load.Load[] {
    return [...this.engines];
  }

  /** Engines to ask for a prompt from a data centre. */
  scope(dataCentre: string): Scope {
    if (this.size <= MAX_SINGLE_CELL_ENGINES) return { first: undefined, all: this.all() };
    this.nextCell += 1;
    const own = this.dataCentres.get(dataCentre)?.cells ?? [];
    const others = [...this.dataCentres]
      .filter(([name]) => name !== dataCentre)
      .flatMap(([, { cells }]) => cells);
    const nearby = own.length > 0 ? own : others;
    // The emptier of two spreads prompts nearly as evenly as the emptiest of all, at a bounded cost.
    const pair = [
      nearby[this.nextCell % nearby.length],
      nearby[(this.nextCell + 1) % nearby.length],
    ];
    const [first, second] = pair[0] === pair[1] ? [pair[0]] : pair.sort(byAverageDecoding);
    const rest = others.filter((cell) => !pair.includes(cell));
    const further = rest.length > 0 ? rest[this.nextCell % rest.length] : [];
    return { first, all: [...first, ...(second ?? []), ...further] };
  }
}

function byAverageDecoding(a: readonly load.Load[], b: readonly load.Load[]): number {
  return averageDecoding(a) - averageDecoding(b);
}

/** Requests that write on the engines of a cell, on average. */
function averageDecoding(cell: readonly load.Load[]): number {
  return cell.reduce((sum, { decodingCount }) => sum + decodingCount, 0) / cell.length;
}
