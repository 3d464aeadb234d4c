/**
 * Index of the targets that aren't gone, by address and by service. With thousands of targets, a
 * linear search for each announcement kept an entry that loads a whole registry busy for seconds.
 */

/** The keys under which a target is indexed. */
export interface IndexKeys {
  service: string;
  /** HOST:PORT. */
  address: string;
  isGone: boolean;
}

export class LiveTargets<T> {
  private readonly byAddress = new Map<string, Set<T>>();

  private readonly byService = new Map<string, Set<T>>();

  /**
   * Updates the index for a target that was added, changed or removed. Targets with unchanged keys
   * keep their order.
   */
  reindex(target: T, from: IndexKeys | undefined, to: IndexKeys | undefined): void {
    const before = from?.isGone === false ? from : undefined;
    const after = to?.isGone === false ? to : undefined;
    moveKey(this.byAddress, target, { from: before?.address, to: after?.address });
    moveKey(this.byService, target, { from: before?.service, to: after?.service });
  }

  atAddress(address: string): T[] {
    return [...(this.byAddress.get(address) ?? [])];
  }

  ofService(service: string): T[] {
    return [...(this.byService.get(service) ?? [])];
  }
}

interface KeyChange {
  from: string | undefined;
  to: string | undefined;
}

function moveKey<T>(index: Map<string, Set<T>>, target: T, { from, to }: KeyChange): void {
  if (from === to) return;
  if (from !== undefined) {
    const remaining = index.get(from);
    remaining?.delete(target);
    if (remaining?.size === 0) index.delete(from);
  }
  if (to !== undefined) index.set(to, (index.get(to) ?? new Set<T>()).add(target));
}
