import type { VmListOutcome } from "../VmListOutcome.js";

/** The platform's lagging list of live and leaving VMs. */
export interface VmDirectory {
    /** Reads the list. Never rejects. */
    listVms(): Promise<VmListOutcome>;
}
