/**
 * A prompt that is being read, by one engine or in parts by several. Its first token follows the last part, so
 * what holds up one of its engines holds up the whole.
 */
import * as lateness from './lateness';

/** Where a part of the prompt is read. */
export interface Place {
  /** When the part there will have been read; undefined once it has. */
  endOf(reading: Reading, now: number): number | undefined;
}

export class Reading {
  private readonly places: Place[] = [];

  /**
   * `value` is what is lost if the request fails, in tokens of work; `since` when its caller began to wait,
   * milliseconds.
   */
  constructor(
    readonly request: string,
    readonly value: number,
    private readonly objectiveMs: number,
    private readonly since: number,
  ) {}

  addPlace(place: Place): void {
    this.places.push(place);
  }

  /** When the last part will have been read. */
  endsAt(now: number): number {
    return Math.max(now, ...this.places.map((place) => place.endOf(this, now) ?? now));
  }

  /** What its caller loses more if the prompt is read at `later` instead of at `sooner`, in tokens of work. */
  lossBy(sooner: number, later: number): number {
    if (later <= sooner) return 0;
    const lossAt = (at: number): number => lateness.loss(at - this.since, this.objectiveMs);
    return this.value * (lossAt(later) - lossAt(sooner));
  }
}
