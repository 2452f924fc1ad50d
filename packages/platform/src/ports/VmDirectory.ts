import type { VmListOutcome } from "../VmListOutcome.js";

/** The platform's list of live and leaving VMs, which lags behind the actual state. */
export interface VmDirectory {
    /** Returns the list. Never rejects. */
    listVms(): Promise<VmListOutcome>;
}
