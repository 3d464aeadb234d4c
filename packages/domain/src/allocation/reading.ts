/**
 * A prompt that is being read, by one engine or in parts by several. Its first token follows the last part, so
 * what holds up one of its engines holds up the whole.
 */
import * as lateness from './lateness';

/** Where a part of the prompt is read. */
export interface PartSchedule {
  /** When the part there will have been read; undefined once it has. */
  completionTime(reading: Reading, now: number): number | undefined;
}

export class Reading {
  private readonly parts: PartSchedule[] = [];

  /**
   * `value` is what is lost if the request fails, in tokens of work; `since` when its caller began to wait,
   * milliseconds.
   */
  constructor(
    readonly request: string,
    readonly value: number,
    private readonly objectiveMs: number,
    private readonly waitingSince: number,
  ) {}

  addPlace(part: PartSchedule): void {
    this.parts.push(part);
  }

  /** When the last part will have been read. */
  endsAt(now: number): number {
    return Math.max(now, ...this.parts.map((part) => part.completionTime(this, now) ?? now));
  }

  /** What its caller loses more if the prompt is read at `later` instead of at `sooner`, in tokens of work. */
  penaltyOfDelay(sooner: number, later: number): number {
    if (later <= sooner) return 0;
    const penaltyAt = (at: number): number =>
      lateness.latenessPenalty(at - this.waitingSince, this.objectiveMs);
    return this.value * (penaltyAt(later) - penaltyAt(sooner));
  }
}
