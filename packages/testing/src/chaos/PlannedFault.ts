import type { FaultKind } from "./FaultKind.js";

/** One fault of a schedule. */
export interface PlannedFault {
    kind: FaultKind;
    /** Process, VM, fabric domain or availability zone that it affects; empty for the platform or the whole system. */
    target: string;
    /** Time from the start of the schedule to the beginning of the fault. */
    atMs: number;
    /** Duration of the fault. */
    durationMs: number;
}
