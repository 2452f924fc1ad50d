import type { MemberReport } from "./MemberReport.js";

/** Newest observation of a VM's engine. */
export type MemberObservation =
    /** Seen; `observedAtMs` is on this process's monotonic clock. */
    | { kind: "reported"; report: MemberReport; observedAtMs: number; }
    /** Did not answer a probe. That is not evidence that it is free. */
    | { kind: "unreachable"; vm: string; observedAtMs: number; };
