/**
 * Addresses and sizes of a fleet under test. Every VM and target has two loopback addresses: the one it listens on,
 * and an advertised one, where a forwarder listens that can inject network faults.
 */

export type Size = 'small' | 'large';

export interface Layout {
  keepers: number;
  entries: number;
  engines: number;
  services: number;
  /** Requests of callers per second. */
  requestsPerSecond: number;
}

/** `small` (17 processes) is the default; `large` (101 processes) approaches the limits of one machine. */
export const LAYOUTS: Record<Size, Layout> = {
  small: { keepers: 5, entries: 3, engines: 6, services: 3, requestsPerSecond: 40 },
  large: { keepers: 5, entries: 30, engines: 60, services: 6, requestsPerSecond: 120 },
};

export const PORT = { peers: 7_000, callers: 7_001, readiness: 7_002, control: 7_003 } as const;

/** Number of organisations whose callers send requests. */
export const ORGANISATIONS = 3;

export const TARGET_PORT = 7_100;

/** Third byte of a loopback address. */
const GROUP = { vm: 1, vmForwarded: 2, target: 3, targetForwarded: 4 } as const;

/** Loopback addresses of one run; concurrent runs on one machine use different networks. */
export class Addresses {
  constructor(private readonly network: number) {}

  host(group: keyof typeof GROUP, index: number): string {
    return `127.${this.network}.${GROUP[group]}.${index + 1}`;
  }
}

/** Bounds that the fleet is configured with and checked against, the same as in deployments. */
export const BOUNDS = {
  revokeMs: 5_000,
  drainMs: 2_000,
  evacuationMs: 5_000,
  applyMs: 2_000,
  stopMs: 8_000,
} as const;

/** Memory of a VM, bytes. */
export const VM_MEMORY_BYTES = 350 * 1_024 ** 2;

/** VMs and targets are distributed over the data centres by their index. */
export const DATA_CENTRES = ['east', 'west', 'south'] as const;

export function dataCentreOf(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length];
}
