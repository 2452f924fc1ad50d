import type { MemberReport } from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";
import type { DepartureReason } from "./DepartureReason.js";

/** What the controller knows of one VM in this round. */
export interface VmFacts {
    name: string;
    /** Newest record, kept after the VM has left the list. */
    record: VmRecord | undefined;
    /** Whether the list holds the VM now. */
    listed: boolean;
    /** Newest report, if it is fresh. */
    report: MemberReport | undefined;
    /** When the newest report was observed, on the monotonic clock. */
    reportedAtMs: number;
    /** Not seen for longer than a member may be. */
    lost: boolean;
    /** Neither listed nor seen for so long that it counts as gone. */
    vanished: boolean;
    departure: DepartureReason | undefined;
}
