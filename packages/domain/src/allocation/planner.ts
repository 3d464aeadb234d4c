/**
 * Chooses the engines for one prompt. Two figures decide: how long the caller waits for the first token,
 * and how long the pauses of those become who already write on the engines that read it.
 *
 * The pattern it answers: many short prompts whose callers bear pauses of a quarter of a second, and few
 * long ones whose reading takes seconds. A long prompt is read in parts by several engines, each part
 * within the pause that the engine's writers bear; requests with tight pauses are packed together, so
 * that the other engines stay free for long parts. The border between the two moves with demand, as both
 * follow from what the engines hold at the moment.
 */
import type * as catalogue from '../catalogue/catalogue';
import * as cost from './cost';
import * as load from './load';

export interface Prompt {
  tokens: number;
  /** Expected answer, tokens. */
  answerTokens: number;
  objectiveMs: number;
  pauseMs: number;
  dataCentre: string;
}

export interface Plan {
  writer: load.Load;
  helpers: load.Load[];
  /** Reading on each of the engines, milliseconds. */
  partMs: number;
  firstTokenMs: number;
}

/** Most engines that help one to read; the engines' interface takes no more. */
export const MAX_HELPERS = 16;

/**
 * Part of the latency objective that one part of a reading may take before it is split further. At a
 * twelfth, a mean long prompt of 154k tokens (3 s alone, objective 3 s) is split over 12 engines.
 */
const PART_SHARE = 1 / 12;

/** Parts shorter than this aren't worth a further engine; milliseconds, three passes of an engine. */
const SHORTEST_PART_MS = 150;

/** Part of the objective that an engine's queue may take before the next engine is opened. */
const PACK_SHARE = 0.4;

/** Preference for the caller's own data centre, milliseconds; the way there and back between two. */
const NEAR_MS = 3;

export class Planner {
  constructor(private readonly engine: catalogue.Engine) {}

  /** The best plan over `loads`, or undefined where no engine has a place. */
  plan(prompt: Prompt, loads: readonly load.Load[], now: number): Plan | undefined {
    const memory = prompt.tokens + prompt.answerTokens;
    const writers = loads.filter((each) => each.freeSlots > 0 && each.freeMemory >= memory);
    if (writers.length === 0) return undefined;
    return this.unsplit(prompt, writers, now) ?? this.split(prompt, writers, loads, now);
  }

  private longestPartMs({ objectiveMs }: Prompt): number {
    return Math.max(SHORTEST_PART_MS, objectiveMs * PART_SHARE);
  }

  /** A plan with one engine, if the reading is short and some engine bears it. */
  private unsplit(prompt: Prompt, writers: readonly load.Load[], now: number): Plan | undefined {
    const partMs = cost.readMs(this.engine, prompt.tokens);
    if (partMs > this.longestPartMs(prompt)) return undefined;
    const bearing = writers.filter((each) => each.allowanceMs(now) >= partMs);
    if (bearing.length === 0) return undefined;
    const writer = this.packed(prompt, bearing, partMs, now);
    return { writer, helpers: [], partMs, firstTokenMs: this.firstTokenMs(writer, partMs, now) };
  }

  /**
   * The fullest engine among those whose writers bear pauses as tight as this one's and whose queue
   * leaves the first token in time; else the one with the soonest first token.
   */
  private packed(
    prompt: Prompt,
    bearing: readonly load.Load[],
    partMs: number,
    now: number,
  ): load.Load {
    const soon = bearing.filter((each) => {
      const tight = each.tightestPauseMs <= prompt.pauseMs;
      return tight && this.firstTokenMs(each, partMs, now) <= prompt.objectiveMs * PACK_SHARE;
    });
    const nearness = (each: load.Load): number =>
      each.record.dataCentre === prompt.dataCentre ? 0 : NEAR_MS;
    if (soon.length > 0) {
      return least(soon, (each) => -each.writers + nearness(each) / (10 * NEAR_MS));
    }
    return least(bearing, (each) => this.firstTokenMs(each, partMs, now) + nearness(each));
  }

  /**
   * A plan over several engines: as many as make the parts short enough, those first that bear the
   * longest part. Where not enough of them bear it, the parts go to those that bear the most.
   */
  private split(
    prompt: Prompt,
    writers: readonly load.Load[],
    loads: readonly load.Load[],
    now: number,
  ): Plan {
    const whole = cost.readMs(this.engine, prompt.tokens);
    const wanted = Math.ceil(whole / this.longestPartMs(prompt));
    const ranked = this.ranked(loads, now);
    const most = Math.min(MAX_HELPERS + 1, ranked.length);
    const bearable = (parts: number): boolean => {
      const last = ranked[parts - 1];
      return last !== undefined && last.allowance >= whole / parts;
    };
    const counts = Array.from({ length: most }, (_, i) => i + 1);
    const parts =
      counts.find((count) => count >= wanted && bearable(count)) ??
      [...counts].reverse().find(bearable) ??
      most;
    const chosen = ranked.slice(0, parts).map((each) => each.load);
    const writer = this.writerOf(prompt, writers, chosen, now);
    const helpers = chosen.filter((each) => each !== writer).slice(0, parts - 1);
    const partMs = whole / (helpers.length + 1);
    const firstTokenMs = Math.max(
      ...[writer, ...helpers].map((each) => this.firstTokenMs(each, partMs, now)),
    );
    return { writer, helpers, partMs, firstTokenMs };
  }

  /** Engines that may help, those first whose writers bear most; ties go to the shorter queue. */
  private ranked(
    loads: readonly load.Load[],
    now: number,
  ): { load: load.Load; allowance: number }[] {
    return loads
      .filter((each) => each.helping(now) < each.engine.slots)
      .map((each) => {
        return { load: each, allowance: each.allowanceMs(now), pending: each.pendingReadMs(now) };
      })
      .sort((a, b) => {
        if (a.allowance !== b.allowance) return a.allowance > b.allowance ? -1 : 1;
        return a.pending - b.pending;
      });
  }

  /** Where the answer is written: among the engines that read, where the pauses stay shortest. */
  private writerOf(
    prompt: Prompt,
    writers: readonly load.Load[],
    chosen: readonly load.Load[],
    now: number,
  ): load.Load {
    const among = chosen.filter((each) => writers.includes(each));
    const candidates = among.length > 0 ? among : writers;
    const tooTight = (each: load.Load): number =>
      each.tightestPauseMs < prompt.pauseMs ? prompt.objectiveMs : 0;
    return least(candidates, (each) => tooTight(each) + each.pendingReadMs(now) + each.passMs(1));
  }

  private firstTokenMs(on: load.Load, partMs: number, now: number): number {
    const pass = on.writers > 0 ? on.passMs() : 0;
    return on.pendingReadMs(now) + on.pace * partMs + pass;
  }
}

function least<T>(items: readonly T[], score: (item: T) => number): T {
  return items.reduce((best, item) => (score(item) < score(best) ? item : best));
}
