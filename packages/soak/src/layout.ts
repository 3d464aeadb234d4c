/**
 * Addresses and sizes of a soaked fleet. Every VM and target has two loopback addresses: one it listens on, and
 * one that others are told, where a forwarder stands that can harm the way between them.
 */

export type Size = 'small' | 'large';

export interface Layout {
  keepers: number;
  entries: number;
  engines: number;
  services: number;
  /** Callers' requests a second. */
  requestsPerSecond: number;
}

/** `small` is the usual size, two dozen processes; `large` goes towards the machine's limits. */
export const LAYOUTS: Record<Size, Layout> = {
  small: { keepers: 5, entries: 3, engines: 6, services: 3, requestsPerSecond: 40 },
  large: { keepers: 5, entries: 30, engines: 60, services: 6, requestsPerSecond: 120 },
};

export const PORT = { peers: 7_000, callers: 7_001, readiness: 7_002, control: 7_003 } as const;

/** Organisations whose callers send requests. */
export const ORGANISATIONS = 3;

export const TARGET_PORT = 7_100;

/** Third byte of an address in 127/8. */
const GROUP = { vm: 1, vmForwarded: 2, target: 3, targetForwarded: 4 } as const;

/** Runs beside each other on one machine take different networks. */
export class Addresses {
  constructor(private readonly network: number) {}

  host(group: keyof typeof GROUP, index: number): string {
    return `127.${this.network}.${GROUP[group]}.${index + 1}`;
  }
}

/** Bounds that the fleet is given and held to, milliseconds; those of the deployments. */
export const BOUNDS = { revokeMs: 5_000, drainMs: 2_000, applyMs: 2_000, stopMs: 8_000 } as const;
