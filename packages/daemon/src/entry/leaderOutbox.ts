/**
 * What an entry must tell the leader, whichever leads. Each item goes out at once; what no leader took is told again until one has, or
 * until newer items push it out.
 */
import * as clock from '../clock';

/** Pause before items that no leader took are told again, milliseconds. */
export const TELL_AGAIN_MS = 100;

export class LeaderOutbox<T> {
  private untold: T[] = [];

  private isTellingAgain = false;

  private isClosed = false;

  /** `send` resolves to whether a leader took the items; at most `most` wait for one. */
  constructor(
    private readonly send: (items: readonly T[]) => Promise<boolean>,
    private readonly most: number,
  ) {}

  async tell(item: T): Promise<void> {
    if (await this.send([item])) return;
    this.untold = [...this.untold, item].slice(-this.most);
    if (this.isTellingAgain) return;
    this.isTellingAgain = true;
    while (this.untold.length > 0 && !this.isClosed) {
      await clock.pause(TELL_AGAIN_MS);
      const told = this.untold;
      const isTaken = await this.send(told);
      if (isTaken) this.untold = this.untold.filter((each) => !told.includes(each));
    }
    this.isTellingAgain = false;
  }

  /** What no leader has taken by now stays untold. */
  close(): void {
    this.isClosed = true;
  }
}
