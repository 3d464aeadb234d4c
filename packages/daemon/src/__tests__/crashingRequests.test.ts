/** Requests that crash their targets, in a fleet of keepers, entries and targets. */
import * as chai from 'chai';
import * as clock from '../clock';
import * as crashableTarget from './__fixtures__/crashableTarget';
import * as fleetPool from './__fixtures__/fleetPool';
import * as smallFleet from './__fixtures__/smallFleet';

const { expect } = chai;

/** Target crashes after which a request is quarantined. */
const MAX_CRASHES = 3;

/** Engines that requests with one crashing part may crash: those of the runs in flight at the first crash, and two. */
const MAX_CRASHES_BY_PART = 5;

/** Different first parts of prompts. */
const FIRST_PARTS = 5;

/** Other requests are served again this long after the last crash, milliseconds, and at least this share of them. */
const RECOVERY_MS = 1_000;
const SERVED_SHARE = 0.9;

/** Time until all entries know of a crash: a probe of the target, a report to the leader and its broadcast. */
const PROPAGATION_MS = 100;

/** How long a sound target may be silent. */
const SILENCE_MS = 1_500;

const CRASHING_BODY = `${crashableTarget.CRASH_MARKER} one`;

describe('requests that crash targets', () => {
  const pool = new fleetPool.FleetPool({ engines: 5, plain: 2 });

  /*
   * Guards against a request that crashes every engine that runs it and takes down a whole fleet: 44 lifetimes of 23
   * engines crashed within half a minute. Its caller resent it under new ids, to any entry, and each attempt was
   * placed on two engines, as nothing was kept of the attempts before.
   */
  (['engines', 'plain'] as const).forEach((service) => {
    it(`are not sent to ${service} targets after the third crash, whichever entry receives them`, async () => {
      const fleet = await pool.take(service);
      const kind = service === 'engines' ? 'streaming' : 'safe';
      const statuses: number[] = [];
      for (let i = 0; i < 12; i++) {
        const reply = await fleet.send(i % smallFleet.ENTRIES, {
          service,
          kind,
          body: CRASHING_BODY,
        });
        statuses.push(reply.status);
        await clock.sleep(50);
      }
      expect(fleet.crashes.length).to.equal(MAX_CRASHES);
      expect(fleet.arrivalsWithBody(CRASHING_BODY).length).to.equal(MAX_CRASHES);
      // They have run, so no response may say that they have not.
      expect(new Set(statuses)).to.deep.equal(new Set([502]));
    });
  });

  /*
   * Once the fleet has quarantined a request, the quarantine must survive the restart of an entry, the loss of the
   * leader and a simultaneous restart of all processes. Each time that it is lost costs three more targets.
   */
  it('stay in quarantine when an entry restarts, the leader changes and all processes restart', async () => {
    const fleet = await pool.take('plain');
    const copy = { service: 'plain', kind: 'safe', body: CRASHING_BODY } as const;
    for (let i = 0; i < MAX_CRASHES; i++) await fleet.send(i % smallFleet.ENTRIES, copy);
    await fleet.stopEntry(0);
    await fleet.startEntry(0);
    expect((await fleet.send(0, copy)).status).to.equal(502);

    await fleet.stopKeeper(fleet.leader);
    const withoutLeader = await fleet.send(1, copy);
    expect([withoutLeader.status, withoutLeader.tookMs < 100]).to.deep.equal([502, true]);
    await smallFleet.until('another leader', () => fleet.leader >= 0);
    await fleet.send(2, copy);

    await fleet.restartAll();
    for (let i = 0; i < smallFleet.ENTRIES; i++) await fleet.send(i, copy);
    expect(fleet.crashes.length).to.equal(MAX_CRASHES);
  });

  /*
   * Guards against a quarantine of innocent requests: those that run on an engine when it crashes are retried
   * elsewhere, and would be quarantined too after three crashes. All of them must be served.
   */
  it('do not affect requests that run on the same engines', async () => {
    const fleet = await pool.take('engines');
    const innocentReplies = Array.from({ length: 40 }, async (_, i) => {
      await clock.sleep(20 * i);
      return fleet.send(i % smallFleet.ENTRIES, { service: 'engines', body: `summary ${i}` });
    });
    for (let i = 0; i < 8; i++) {
      await fleet.send(i % smallFleet.ENTRIES, { service: 'engines', body: CRASHING_BODY });
      await clock.sleep(40);
    }
    const replies = await Promise.all(innocentReplies);
    const served = replies.filter(({ status, isComplete }) => status === 200 && isComplete);
    expect([served.length, fleet.crashes.length]).to.deep.equal([
      innocentReplies.length,
      MAX_CRASHES,
    ]);
  });

  /*
   * Copies arrive at intervals shorter than the time until one of them crashes its target, so several run before the
   * first crash. None may reach a target once all entries know of the third crash.
   */
  it('are stopped immediately when many copies arrive together', async () => {
    const fleet = await pool.take('engines');
    const copies = Array.from({ length: 30 }, async (_, i) => {
      await clock.sleep(15 * i);
      return fleet.send(i % smallFleet.ENTRIES, { service: 'engines', body: CRASHING_BODY });
    });
    await Promise.all(copies);
    const thirdCrashAt = fleet.crashes[MAX_CRASHES - 1].at;
    const later = fleet
      .arrivalsWithBody(CRASHING_BODY)
      .filter(({ at }) => at > thirdCrashAt + PROPAGATION_MS);
    expect(later).to.deep.equal([]);
  });

  /** Guards against a suspicion of requests whose target was only silent for a second: their copies were refused. */
  it('do not include those that run on a target that is silent for a second', async () => {
    const fleet = await pool.take('engines');
    const copy = { service: 'engines', body: 'summary' } as const;
    const replies: Promise<smallFleet.Reply>[] = [];
    for (let i = 0; i < 60; i++) {
      if (i === 5) fleet.targets.slice(0, 2).forEach((target) => target.silence(SILENCE_MS));
      replies.push(fleet.send(i % smallFleet.ENTRIES, copy));
      await clock.sleep(40);
    }
    const statuses = (await Promise.all(replies)).map(({ status }) => status);
    expect(new Set(statuses)).to.deep.equal(new Set([200]));
    expect(fleet.countOf('event.targetEndedUnder')).to.equal(0);
  });

  /**
   * Guards against requests that share one part of their prompts, and no body, and crash every engine that begins to
   * answer them: each body was quarantined by itself, and callers with the same first part were cut or refused.
   */
  it('by a part of their prompt reach few engines, and others with the same first part are served', async () => {
    const fleet = await pool.take('engines');
    const isAfterLastCrash = (at: number, delayMs: number): boolean => {
      return at > (fleet.crashes.at(-1)?.at ?? 0) + delayMs;
    };
    /** Sends at least `total` requests, and then goes on until `later` were sent some time after the last crash. */
    const sendAll = async (
      {
        perSecond,
        total,
        later,
        delayMs,
      }: Record<'perSecond' | 'total' | 'later' | 'delayMs', number>,
      optionsOf: (i: number) => Pick<smallFleet.RequestOptions, 'body' | 'parts'>,
    ): Promise<(smallFleet.Reply & { at: number })[]> => {
      const sentAt: number[] = [];
      const isEnough = (): boolean => {
        const laterOnes = sentAt.filter((at) => isAfterLastCrash(at, delayMs));
        const isFailing = fleet.crashes.length > MAX_CRASHES_BY_PART;
        return sentAt.length >= total && (laterOnes.length >= later || isFailing);
      };
      const replies: Promise<smallFleet.Reply & { at: number }>[] = [];
      for (let i = 0; !isEnough(); i++) {
        const at = clock.steady();
        const reply = fleet.send(i % smallFleet.ENTRIES, { service: 'engines', ...optionsOf(i) });
        sentAt.push(at);
        replies.push(reply.then((each) => ({ ...each, at })));
        await clock.sleep(1_000 / perSecond);
      }
      return Promise.all(replies);
    };
    const [culpritReplies, innocentReplies] = await Promise.all([
      sendAll({ perSecond: 10, total: 50, later: 30, delayMs: PROPAGATION_MS }, (i) => {
        const parts = [`a${i % FIRST_PARTS}`, crashableTarget.CRASHING_PART, `b${i}`];
        return { body: `part ${i}`, parts };
      }),
      sendAll({ perSecond: 25, total: 150, later: 50, delayMs: RECOVERY_MS }, (i) => {
        return { body: `summary ${i}`, parts: [`a${i % FIRST_PARTS}`, `c${i}`] };
      }),
    ]);
    expect(fleet.crashes.length).to.be.at.most(MAX_CRASHES_BY_PART);
    const later = innocentReplies.filter(({ at }) => isAfterLastCrash(at, RECOVERY_MS));
    const served = later.filter(({ status, isComplete }) => status === 200 && isComplete);
    expect(later.length).to.be.at.least(50);
    expect(served.length / later.length).to.be.at.least(SERVED_SHARE);
    const arrived = new Set(fleet.arrivals.map(({ request }) => request));
    const refused = culpritReplies.filter(({ status }) => status === 503);
    expect(refused.filter(({ id }) => arrived.has(id))).to.deep.equal([]);
    expect(refused.length).to.be.at.least(40);
    const afterLastCrash = refused.filter(({ at }) => isAfterLastCrash(at, PROPAGATION_MS));
    expect(afterLastCrash.length).to.be.at.least(30);
    const retryAfterSeconds = afterLastCrash.map(({ retryAfter }) => Number(retryAfter));
    expect(Math.min(...retryAfterSeconds)).to.be.above(60);
  });
});
