/**
 * Announces a stand-in to the daemons. Real targets announce through the platform's load balancer;
 * here each announcement goes round-robin to the next entry that accepts it.
 */
import type * as domain from '@celerydrift/domain';
import * as undici from 'undici';

/** An announcement has the fields of the target that it describes. */
export type Announcement = domain.target.target.Target;

const REQUEST_TIMEOUT_MS = 1_000;

export class Announcer {
  private nextEntry = 0;

  private sequence = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly entries: readonly string[],
    private readonly secret: string,
    private readonly buildAnnouncement: () => Omit<Announcement, 'sequence'>,
    private readonly periodMs = 2_000,
  ) {}

  start(): void {
    const announce = (): void => {
      void this.announce();
    };
    this.timer = setInterval(announce, this.periodMs);
    announce();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Sends one announcement; false if no entry accepted it. */
  async announce(): Promise<boolean> {
    this.sequence += 1;
    const body = JSON.stringify({ ...this.buildAnnouncement(), sequence: this.sequence });
    for (let attempts = 0; attempts < this.entries.length; attempts++) {
      const entry = this.entries[this.nextEntry % this.entries.length] ?? '';
      this.nextEntry += 1;
      if (await this.post(entry, body)) return true;
    }
    return false;
  }

  private async post(entry: string, body: string): Promise<boolean> {
    try {
      const { statusCode, body: responseBody } = await undici.request(`${entry}/targets/announce`, {
        method: 'POST',
        headers: { 'content-type': 'application/json', authorization: `Bearer ${this.secret}` },
        body,
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      await responseBody.dump();
      return statusCode < 300;
    } catch {
      return false;
    }
  }
}
