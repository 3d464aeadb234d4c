/**
 * A prompt during its prefill, by one engine or in parts by several. Its first token follows the
 * last part, so whatever delays one of its engines delays the whole prompt.
 */
import * as lateness from './lateness';

/** The engine queue that holds a part of the prompt. */
export interface PartSchedule {
  /** When the prefill of that part ends; undefined once it has. */
  completionTime(prefill: Prefill, now: number): number | undefined;
}

export class Prefill {
  private readonly parts: PartSchedule[] = [];

  /**
   * `value` is what is lost if the request fails, in tokens of work; `waitingSince` is when its
   * caller began to wait, milliseconds.
   */
  constructor(
    readonly request: string,
    readonly value: number,
    private readonly objectiveMs: number,
    private readonly waitingSince: number,
  ) {}

  addPart(part: PartSchedule): void {
    this.parts.push(part);
  }

  /** When the prefill of the last part ends. */
  endsAt(now: number): number {
    return Math.max(now, ...this.parts.map((part) => part.completionTime(this, now) ?? now));
  }

  /** Additional penalty if the prefill ends at `later` instead of `sooner`, in tokens of work. */
  penaltyOfDelay(sooner: number, later: number): number {
    if (later <= sooner) return 0;
    const penaltyAt = (at: number): number =>
      lateness.latenessPenalty(at - this.waitingSince, this.objectiveMs);
    return this.value * (penaltyAt(later) - penaltyAt(sooner));
  }
}
