/**
 * Divides the engines of a service into cells, so that the cost of a placement doesn't grow with
 * the fleet. A plan computes the prompt's cost on every candidate; with 3,000 engines that takes
 * longer than the interval between prompts, and prompts waited seconds for a placement while most
 * engines were idle. Within a cell plans are as good as in a small fleet: short prompts are packed
 * together, and there are enough engines to divide a long one.
 */
import type * as load from './load';

/**
 * A service with at most this many engines is a single cell; planning over 256 takes half a
 * millisecond.
 */
const MAX_SINGLE_CELL_ENGINES = 256;

/**
 * Engines per cell of a larger service: about seven times as many as the longest prompt is divided
 * among.
 */
const ENGINES_PER_CELL = 128;

/** Cells that one placement considers if the first has no good plan. */
const CELLS_PER_CHOICE = 3;

/** The cells of one data centre; an engine stays in its cell for its lifetime. */
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

/**
 * Candidates of a placement: the cell to try first (undefined for a single cell) and all engines
 * that may be tried.
 */
export interface Scope {
  first: readonly load.Load[] | undefined;
  all: readonly load.Load[];
}

export class Cells {
  private readonly engines = new Set<load.Load>();

  private readonly dataCentres = new Map<string, DataCentre>();

  /** Rotates the cells, so that concurrent prompts spread. */
  private nextCell = 0;

  get size(): number {
    return this.engines.size;
  }

  /** Most engines that one placement considers. */
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

  /** Candidates for a prompt from a data centre; cells of evacuated data centres aren't among them. */
  scope(dataCentre: string, isEvacuated: (name: string) => boolean): Scope {
    if (this.size <= MAX_SINGLE_CELL_ENGINES) return { first: undefined, all: this.all() };
    this.nextCell += 1;
    const open = [...this.dataCentres].filter(([name]) => !isEvacuated(name));
    const own = open.filter(([name]) => name === dataCentre).flatMap(([, { cells }]) => cells);
    const others = open.filter(([name]) => name !== dataCentre).flatMap(([, { cells }]) => cells);
    const nearby = own.length > 0 ? own : others;
    if (nearby.length === 0) return { first: undefined, all: [] };
    // Power of two choices: the less loaded of two cells spreads prompts nearly as evenly as the
    // least loaded of all, at a bounded cost.
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

/** Average number of decoding requests per engine of a cell. */
function averageDecoding(cell: readonly load.Load[]): number {
  return cell.reduce((sum, { decodingCount }) => sum + decodingCount, 0) / cell.length;
}
