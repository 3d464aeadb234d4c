/**
 * The catalogue of log events. Each has a number that never changes meaning; docs/LOG_EVENTS.md lists
 * them with what to do, and a test holds the two equal.
 */

export type Level = 'debug' | 'info' | 'warn' | 'error';

export interface Event {
  number: number;
  level: Level;
  text: string;
}

export const EVENTS = {
  started: { number: 1001, level: 'info', text: 'daemon started' },
  ready: { number: 1002, level: 'info', text: 'ready for callers' },
  unready: { number: 1003, level: 'warn', text: 'not ready for callers' },
  stopping: { number: 1004, level: 'info', text: 'planned stop of this daemon' },
  stopped: { number: 1005, level: 'info', text: 'daemon stopped' },
  crashed: { number: 1006, level: 'error', text: 'unexpected error' },
  replicaFounded: { number: 2001, level: 'info', text: 'replica set founded' },
  replicaRole: { number: 2002, level: 'info', text: 'replica changed its state' },
  journalCut: { number: 2003, level: 'warn', text: 'torn end of the journal cut' },
  journalCorrupt: { number: 2004, level: 'error', text: 'journal is corrupt; replica stays out' },
  snapshotMade: { number: 2005, level: 'info', text: 'snapshot made' },
  snapshotInstalled: { number: 2006, level: 'info', text: 'snapshot installed' },
  repairStep: { number: 2007, level: 'warn', text: 'replica set changed by repair' },
  spareWaiting: { number: 2008, level: 'info', text: 'data folder is a spare' },
  diskRefused: { number: 2009, level: 'warn', text: 'disk refused a write; replica is mute' },
  diskAccepted: { number: 2010, level: 'info', text: 'disk takes writes again' },
  settingAccepted: { number: 3001, level: 'info', text: 'change of settings accepted' },
  settingRefused: { number: 3002, level: 'warn', text: 'change of settings refused' },
  settingInForce: { number: 3003, level: 'debug', text: 'settings in force here' },
  upstreamChanged: { number: 3004, level: 'info', text: 'following another upstream' },
  upstreamLost: { number: 3005, level: 'warn', text: 'upstream silent or refused' },
  caughtUp: { number: 3006, level: 'info', text: 'caught up by comparing digests' },
  catalogueAccepted: { number: 3007, level: 'info', text: 'catalogue accepted' },
  catalogueRefused: { number: 3008, level: 'warn', text: 'catalogue refused' },
  catalogueInForce: { number: 3009, level: 'info', text: 'catalogue in force here' },
  leaderFound: { number: 3010, level: 'info', text: 'following a leader' },
  leaderLost: { number: 3011, level: 'warn', text: 'leader silent or no longer one' },
  leaseEnded: { number: 3012, level: 'warn', text: 'freshness not confirmed; keys are refused' },
  settingsFileRead: { number: 3013, level: 'info', text: 'settings file read again' },
  catalogueUnsettled: {
    number: 3014,
    level: 'warn',
    text: 'catalogue neither accepted nor refused',
  },
  daemonSuspected: { number: 4001, level: 'warn', text: 'daemon suspected' },
  daemonDead: { number: 4002, level: 'warn', text: 'daemon dead' },
  daemonAlive: { number: 4003, level: 'info', text: 'daemon alive' },
  targetServing: { number: 4101, level: 'info', text: 'target serving' },
  targetLeaving: { number: 4102, level: 'info', text: 'target leaving' },
  targetGone: { number: 4103, level: 'warn', text: 'target gone' },
  circuitOpened: { number: 4104, level: 'warn', text: 'circuit of a target opened' },
  circuitClosed: { number: 4105, level: 'info', text: 'circuit of a target closed' },
  targetAnnounced: { number: 4106, level: 'info', text: 'target changed its state' },
  announcementIgnored: { number: 4107, level: 'warn', text: 'announcement names no usable target' },
  targetAsked: { number: 4108, level: 'info', text: 'silent target asked whether it lives' },
  targetsRemembered: { number: 4109, level: 'info', text: 'targets read from the disk' },
  memoryNotRead: { number: 4110, level: 'warn', text: 'file of soft state not read' },
  memoryNotWritten: { number: 4111, level: 'warn', text: 'file of soft state not written' },
  registryTaken: { number: 4112, level: 'info', text: 'registry or many changes taken' },
  targetsConfirmed: { number: 4113, level: 'info', text: 'remembered targets spoke' },
  targetLimited: { number: 4114, level: 'warn', text: 'target named its limit' },
  targetLimitEnded: { number: 4115, level: 'info', text: 'target names no limit any more' },
  requestEnded: { number: 5001, level: 'info', text: 'request ended' },
  attemptFailed: { number: 5002, level: 'warn', text: 'attempt failed' },
  frameCrossed: { number: 5003, level: 'error', text: 'frame of another request dropped' },
  connectionSilent: { number: 5004, level: 'warn', text: 'silent connection, target alive' },
  streamMoved: { number: 5005, level: 'info', text: 'stream moved by a planned stop' },
  requestPlaced: { number: 5006, level: 'info', text: 'request placed on targets' },
  placedLocally: { number: 5007, level: 'warn', text: 'no allocator; entry chose by itself' },
  callerGone: { number: 5009, level: 'info', text: 'caller left; target cancelled' },
  memoryReserved: { number: 5010, level: 'info', text: 'memory reserved on helpers' },
  requestNotPlaced: { number: 5011, level: 'warn', text: 'no engine for a request' },
  targetEndedUnder: { number: 5012, level: 'warn', text: 'target ended while it ran a request' },
  requestHeldBack: { number: 5013, level: 'warn', text: 'request in quarantine not sent' },
  requestSuspected: { number: 5014, level: 'info', text: 'request suspected of ending a target' },
  requestQuarantined: { number: 5015, level: 'error', text: 'request put into quarantine' },
  suspicionEnded: { number: 5016, level: 'info', text: 'suspicion of a request ended or eased' },
  quarantineRecalled: { number: 5017, level: 'info', text: 'quarantine read from the disk' },
  claimUnknown: {
    number: 5101,
    level: 'warn',
    text: 'outcome of a call that runs once is unknown',
  },
  orderSent: { number: 6001, level: 'info', text: 'order sent to a target' },
  orderRefused: { number: 6002, level: 'warn', text: 'order refused by a target' },
  reclaimed: { number: 6003, level: 'warn', text: 'holding of a dead daemon reclaimed' },
  releaseRetried: { number: 6004, level: 'debug', text: 'release sent again' },
  peerRejected: { number: 7001, level: 'warn', text: 'peer failed to prove itself' },
  operatorRejected: { number: 7002, level: 'warn', text: 'operator rejected' },
  linesDropped: { number: 7003, level: 'warn', text: 'log lines dropped to bound their volume' },
  metricsUnavailable: { number: 7004, level: 'warn', text: 'metrics address taken' },
} as const satisfies Record<string, Event>;

export type Name = keyof typeof EVENTS;
