import type { GroupEvidence } from "../GroupEvidence.js";
import type { MemberObservation } from "../MemberObservation.js";

/** Readiness evidence of this process's own availability zone. */
export interface EvidenceView {
    /**
     * Returns evidence for a group if it is valid now, otherwise undefined. Has to be called right before each
     * dispatch.
     */
    ready(group: string): GroupEvidence | undefined;

    /** Returns the evidence of every group that has valid evidence now. */
    readyGroups(): GroupEvidence[];

    /** Returns the newest observation of a VM, however old. */
    observation(vm: string): MemberObservation | undefined;

    /** Drops the observations of a VM, for example after its engine refused a request as stale. */
    invalidate(vm: string): void;
}
