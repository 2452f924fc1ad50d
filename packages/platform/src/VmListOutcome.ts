import type { VmRecord } from "./VmRecord.js";

/** Result of listing the platform's VMs. */
export type VmListOutcome =
    | { kind: "listed"; vms: VmRecord[]; }
    | { kind: "unavailable"; retryAfterMs: number; };
