import type { ModelProfile } from "../model/ModelProfile.js";
import type { Upstream } from "../model/Upstream.js";

/** A serving group as the controller wants it. */
export interface ManagedGroup {
    name: string;
    service: string;
    domain: string;
    model: ModelProfile;
    epoch: number;
    /** Members by rank, as they were when they were chosen. */
    members: readonly Upstream[];
    phase: "joining" | "opening" | "open" | "closing" | "short";
    /** When the phase began, monotonic ms. */
    phaseSinceMs: number;
    /** When the group stopped serving, for the repair time; undefined for a new group. */
    lostAtMs?: number;
    /** When its members were last asked whether they still belong to it, monotonic ms. */
    checkedAtMs: number;
    isChecking: boolean;
    /** Since when a member drains, monotonic ms. */
    drainSeenMs?: number;
    /** A member rejected its join. */
    isRejected?: boolean;
    /** Formations in a row that ended with a rejected join. */
    rejections?: number;
}
