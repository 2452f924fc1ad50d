import type { ModelProfile } from "../model/ModelProfile.js";
import type { Upstream } from "../model/Upstream.js";
import type { FormerHead } from "./FormerHead.js";
import type { GroupLoss } from "./GroupLoss.js";
import type { RepairDurations } from "./RepairDurations.js";

/** A serving group in the state that the controller wants. */
export interface ManagedGroup {
    name: string;
    service: string;
    domain: string;
    model: ModelProfile;
    epoch: number;
    /** Members by rank, as registered when they were chosen. */
    members: readonly Upstream[];
    /** True if the head was not registered when the group was adopted; `members` lacks it then. */
    isHeadMissing?: boolean;
    /** True if members were not registered when the group was adopted, and may register again. */
    isAwaitingMembers?: boolean;
    /** A `lost` group gets no new requests; it is re-formed once those in flight have ended. */
    phase: "joining" | "opening" | "open" | "closing" | "lost" | "incomplete";
    /** Start of the phase, monotonic. */
    phaseSinceMs: number;
    /** When the group stopped serving, used to measure the repair time; undefined for a new or open group. */
    lostAtMs?: number;
    /** Steps of the repair that have ended; present while `lostAtMs` is. */
    repairDurations?: RepairDurations;
    /** When the last close order was sent, monotonic. */
    closeOrderedAtMs?: number;
    /** Present while the phase is `lost`. */
    loss?: GroupLoss;
    /** When the last check of its members ended, monotonic. */
    checkedAtMs: number;
    isChecking: boolean;
    /** When reports of its members were last requested while it forms, monotonic. */
    reportsRequestedAtMs?: number;
    /** When a member was first seen draining, monotonic. */
    drainSinceMs?: number;
    /** True if a member rejected the join order. */
    hasRejectedJoin?: boolean;
    /** Heads of earlier epochs. Its members join no other group until these have given them up. */
    formerHeads?: readonly FormerHead[];
    /** Number of consecutive formations that ended with a rejected join. */
    consecutiveRejections?: number;
}
