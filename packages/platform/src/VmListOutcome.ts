import type { VmRecord } from "./VmRecord.js";

/** Result of reading the platform's list of VMs. */
export type VmListOutcome =
    | { kind: "listed"; vms: VmRecord[]; }
    | { kind: "unavailable"; retryAfterMs: number; };
