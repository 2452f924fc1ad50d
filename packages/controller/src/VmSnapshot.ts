import type { MemberReport } from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";
import type { DepartureReason } from "./DepartureReason.js";

/** What the controller knows of one VM in the current iteration. */
export interface VmSnapshot {
    name: string;
    /** Newest record from the platform's list, kept after the VM has left the list. */
    record: VmRecord | undefined;
    /** Whether the platform's list contains the VM now. */
    listed: boolean;
    /** Newest report, unless it is older than `observationMaxAgeMs`. */
    report: MemberReport | undefined;
    /** Monotonic time at which the newest report was observed; -Infinity without one. */
    reportedAtMs: number;
    /** Whether the VM has not reported for longer than `memberLostAfterMs`. */
    unresponsive: boolean;
    /** Whether the VM has neither been listed nor reported for longer than `vanishedAfterMs`: it counts as removed. */
    vanished: boolean;
    departure: DepartureReason | undefined;
}
