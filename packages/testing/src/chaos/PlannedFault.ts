import type { FaultKind } from "./FaultKind.js";

/** One fault of a schedule. */
export interface PlannedFault {
    kind: FaultKind;
    /** Process, VM or availability zone that it hits; empty for the platform as a whole. */
    target: string;
    /** When it begins, counted from the start of the schedule, ms. */
    atMs: number;
    /** How long it lasts, ms. */
    durationMs: number;
}
