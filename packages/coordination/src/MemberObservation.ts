import type { MemberReport } from "./MemberReport.js";

/** Newest observation of a VM's engine. */
export type MemberObservation =
    /** The engine reported; `observedAtMs` is on this process's monotonic clock. */
    | { kind: "reported"; report: MemberReport; observedAtMs: number; }
    /** The engine did not respond to a probe. That is no evidence that its VM is free. */
    | { kind: "unreachable"; vm: string; observedAtMs: number; };
