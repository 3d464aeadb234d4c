/**
 * Tells the peers of this daemon's own work when it changed, and takes theirs. Only the newest word of a
 * peer counts, whichever way it came.
 */
import type * as router from '../requests/router';
import type * as news from './news';

export interface Options {
  self: string;
  incarnation: number;
  router: router.Router;
  /** Own demand in tokens per second by limited organisation. */
  demand: () => Record<string, number>;
  post: (record: news.News) => void;
}

interface Seen {
  incarnation: number;
  version: number;
}

export class WorkTeller {
  private readonly seen = new Map<string, Seen>();

  private version = 0;

  private lastShape = '';

  constructor(private readonly options: Options) {}

  /** Takes a peer's word; true when it was new. */
  take(work: news.Work): boolean {
    if (work.daemon === this.options.self || this.isOld(work)) return false;
    const { incarnation, version } = work;
    this.seen.set(work.daemon, { incarnation, version });
    this.options.router.peerWork(work);
    return true;
  }

  /** Tells own work, if it is other than at the last time. */
  tell(): void {
    const { router: own, demand, self, incarnation, post } = this.options;
    const content = { ...own.ownWork(), organisations: demand() };
    const shape = JSON.stringify(content);
    if (shape === this.lastShape) return;
    this.lastShape = shape;
    this.version += 1;
    const work = { daemon: self, incarnation, version: this.version, ...content };
    post({ kind: 'work', work });
  }

  private isOld({ daemon, incarnation, version }: news.Work): boolean {
    const known = this.seen.get(daemon);
    if (known === undefined || incarnation > known.incarnation) return false;
    return incarnation < known.incarnation || version <= known.version;
  }
}
