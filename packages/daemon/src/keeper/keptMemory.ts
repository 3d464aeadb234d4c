/**
 * Soft state on a keeper's disk, a file each for targets, requests in quarantine and limits of targets. A loss of all VMs takes it from
 * everybody else; what a file lacks or names too much shows with the targets' next words and answers.
 */
import * as clock from '../clock';
import type * as holding from '../fleet/holding';
import type * as observer from '../observability/observer';
import * as limitMemory from './limitMemory';
import * as memoryFile from './memoryFile';
import * as suspectMemory from './suspectMemory';
import * as targetMemory from './targetMemory';

export interface Parts {
  folder: string;
  holding: holding.Holding;
  observer: observer.Observer;
}

export class KeptMemory {
  private readonly targets: memoryFile.MemoryFile;

  private readonly quarantine: memoryFile.MemoryFile;

  private readonly limits: memoryFile.MemoryFile;

  /** Contents that the file of the quarantine holds or will hold. */
  private writtenQuarantine = '';

  constructor(private readonly parts: Parts) {
    const { holding: held } = parts;
    this.targets = this.file(targetMemory.FILE, () => held.registry.durable());
    this.quarantine = this.file(suspectMemory.FILE, () => this.quarantineReports());
    this.limits = this.file(limitMemory.FILE, () => held.limits.all());
  }

  /** Takes what the files hold; one that can't be read tells nothing. */
  async recall(): Promise<void> {
    await this.recallTargets();
    await this.recallQuarantine();
    await this.recallLimits();
  }

  targetsChanged(): void {
    this.targets.changed();
  }

  /** Most suspects are never in quarantine, and cost the disk nothing. */
  suspectsChanged(): void {
    const contents = this.quarantineReports()
      .map(({ content }) => content)
      .join(' ');
    if (contents === this.writtenQuarantine) return;
    this.writtenQuarantine = contents;
    this.quarantine.changed();
  }

  limitsChanged(): void {
    this.limits.changed();
  }

  async close(): Promise<void> {
    const files = [this.targets, this.quarantine, this.limits];
    await Promise.all(files.map((each) => each.close()));
  }

  private file(name: string, content: () => unknown): memoryFile.MemoryFile {
    const { folder, observer: observe } = this.parts;
    return new memoryFile.MemoryFile({ folder, name, observer: observe, content });
  }

  private quarantineReports(): ReturnType<typeof suspectMemory.contentOf> {
    return suspectMemory.contentOf(this.parts.holding.quarantine, clock.steady());
  }

  private async recallTargets(): Promise<void> {
    const { folder, holding: held, observer: observe } = this.parts;
    const remembered = await targetMemory.read(folder);
    if (remembered.err) {
      this.notRead(targetMemory.FILE, remembered.val);
      return;
    }
    const records = held.recall(remembered.val);
    const ready = records.filter(({ state }) => state === 'ready');
    observe.log('targetsRemembered', { known: records.length, ready: ready.length });
  }

  private async recallQuarantine(): Promise<void> {
    const { folder, holding: held, observer: observe } = this.parts;
    const recalled = await suspectMemory.read(folder);
    if (recalled.err) {
      this.notRead(suspectMemory.FILE, recalled.val);
      return;
    }
    held.quarantine.merge(recalled.val, clock.steady());
    observe.log('quarantineRecalled', { contents: recalled.val.length });
  }

  private async recallLimits(): Promise<void> {
    const { folder, holding: held, observer: observe } = this.parts;
    const recalled = await limitMemory.read(folder);
    if (recalled.err) {
      this.notRead(limitMemory.FILE, recalled.val);
      return;
    }
    held.limits.setAll(recalled.val, clock.steady());
    observe.log('limitsRecalled', { limits: recalled.val.length });
  }

  private notRead(file: string, { detail }: memoryFile.Unusable): void {
    this.parts.observer.log('memoryNotRead', { file, reason: detail });
  }
}
