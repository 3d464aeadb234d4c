/**
 * Announces this daemon's workload to its peers when it changed, and receives theirs. Only the newest
 * announcement of a peer counts, whichever path it arrived by.
 */
import type * as router from '../requests/router';
import type * as gossipRecords from './gossipRecords';

export interface Options {
  self: string;
  incarnation: number;
  router: router.Router;
  /** This daemon's demand in tokens per second, by rate-limited organisation. */
  demand: () => Record<string, number>;
  post: (record: gossipRecords.GossipRecord) => void;
}

/** Newest announcement received from a peer. */
interface AnnouncedVersion {
  incarnation: number;
  version: number;
}

export class WorkloadAnnouncer {
  private readonly versions = new Map<string, AnnouncedVersion>();

  private version = 0;

  private lastContent = '';

  constructor(private readonly options: Options) {}

  /** Applies a peer's announcement; returns false if it is outdated or this daemon's own. */
  receive(work: gossipRecords.Workload): boolean {
    if (work.daemon === this.options.self || this.isStale(work)) return false;
    const { incarnation, version } = work;
    this.versions.set(work.daemon, { incarnation, version });
    this.options.router.updatePeerWorkload(work);
    return true;
  }

  /** Announces this daemon's workload if it differs from the last announcement. */
  announce(): void {
    const { router: localRouter, demand, self, incarnation, post } = this.options;
    const content = { ...localRouter.ownWorkload(), organisations: demand() };
    const serialized = JSON.stringify(content);
    if (serialized === this.lastContent) return;
    this.lastContent = serialized;
    this.version += 1;
    const work = { daemon: self, incarnation, version: this.version, ...content };
    post({ kind: 'work', work });
  }

  private isStale({ daemon, incarnation, version }: gossipRecords.Workload): boolean {
    const newest = this.versions.get(daemon);
    if (newest === undefined || incarnation > newest.incarnation) return false;
    return incarnation < newest.incarnation || version <= newest.version;
  }
}
