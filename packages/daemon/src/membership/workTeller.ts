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

interface AnnouncedVersion {
  incarnation: number;
  version: number;
}

export class WorkTeller {
  private readonly versions = new Map<string, AnnouncedVersion>();

  private version = 0;

  private lastContent = '';

  constructor(private readonly options: Options) {}

  /** Takes a peer's word; true when it was new. */
  take(work: news.Work): boolean {
    if (work.daemon === this.options.self || this.isStale(work)) return false;
    const { incarnation, version } = work;
    this.versions.set(work.daemon, { incarnation, version });
    this.options.router.peerWork(work);
    return true;
  }

  /** Tells own work, if it is other than at the last time. */
  tell(): void {
    const { router: localRouter, demand, self, incarnation, post } = this.options;
    const content = { ...localRouter.ownWork(), organisations: demand() };
    const serialized = JSON.stringify(content);
    if (serialized === this.lastContent) return;
    this.lastContent = serialized;
    this.version += 1;
    const work = { daemon: self, incarnation, version: this.version, ...content };
    post({ kind: 'work', work });
  }

  private isStale({ daemon, incarnation, version }: news.Work): boolean {
    const known = this.versions.get(daemon);
    if (known === undefined || incarnation > known.incarnation) return false;
    return incarnation < known.incarnation || version <= known.version;
  }
}
