/** Watches one sending for silence, asks its target where it is overdue, and says when to give it up. */
import * as silence from './silence';

export interface Parts {
  bounds: silence.Bounds;
  sentAt: number;
  now: () => number;
  /** When the last event came; 0 before the first. */
  lastEventAt: () => number;
  isAlive: () => Promise<boolean>;
  /** Whether another target could be tried; while there is none, nothing is won by giving up. */
  hasAlternative: () => boolean;
  onSilent: (detail: string) => void;
}

export class SilenceWatch {
  private readonly timer: NodeJS.Timeout;

  private isAsking = false;

  private notAskedBefore = 0;

  constructor(private readonly parts: Parts) {
    this.timer = setInterval(() => this.look(), silence.lookEveryMs(parts.bounds));
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Whether an event is overdue by now. */
  get isOverdue(): boolean {
    return this.verdict !== 'fine';
  }

  private get verdict(): silence.Verdict {
    const { bounds, sentAt, lastEventAt, now } = this.parts;
    return silence.judge(bounds, { sentAt, lastEventAt: lastEventAt() }, now());
  }

  private look(): void {
    if (!this.parts.hasAlternative()) return;
    const { verdict } = this;
    if (verdict === 'hopeless') this.parts.onSilent('target silent');
    else if (verdict === 'overdue') void this.ask();
  }

  private async ask(): Promise<void> {
    const { now, isAlive } = this.parts;
    if (this.isAsking || now() < this.notAskedBefore) return;
    this.isAsking = true;
    const alive = await isAlive();
    this.isAsking = false;
    this.notAskedBefore = now() + silence.ASK_EVERY_MS;
    // An event may have come meanwhile.
    if (!alive && this.verdict !== 'fine') this.parts.onSilent('target dead');
  }
}
