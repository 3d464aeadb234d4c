/** What a liveness probe of a target shows, and what is known of a target from the probes of this VM and of others. */

/**
 * `refused`: nothing serves this lifetime any more. `silent`: no response in time, which a sound target may fail to give;
 * or, where it may not be probed, a connection that it didn't hold, as it may have too many.
 */
export type ProbeResult = 'alive' | 'refused' | 'silent';

/**
 * How a target responds to another entry. `missing`: it refuses connections, no other of its service in its data centre
 * responds either, but others of the service do.
 */
export type ReachResult = ProbeResult | 'missing';

/**
 * What is known of a target that gave no response. `alive`: it responds to this VM. `pathLost`: it responds to another
 * VM only. `dead`: it responds to neither, and refuses one of them. `silent`: it responds to neither. `missing`: it
 * responds to neither, and the other VM, which it refuses, may have lost its path to it, but reaches others of its
 * service. `refused`: it refuses this VM, and no other VM can tell. `unknown`: it is silent here, and no other VM can
 * tell. `unasked`: the same, and none of the other VMs that are known answered, so that this VM may be the one that is
 * cut off.
 */
export type Verdict =
  'alive' | 'pathLost' | 'dead' | 'silent' | 'missing' | 'refused' | 'unknown' | 'unasked';
