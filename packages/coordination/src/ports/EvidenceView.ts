import type { GroupEvidence } from "../GroupEvidence.js";
import type { MemberObservation } from "../MemberObservation.js";

/** Readiness evidence of this process's own availability zone. */
export interface EvidenceView {
    /** Evidence for a group if it holds right now, else undefined. Call it right before each dispatch. */
    ready(group: string): GroupEvidence | undefined;

    /** Every group with evidence that holds right now. */
    readyGroups(): GroupEvidence[];

    /** Newest observation of a VM, however old. */
    observation(vm: string): MemberObservation | undefined;

    /** Drops what is held of a VM, for instance after its engine refused a request as stale. */
    invalidate(vm: string): void;
}
