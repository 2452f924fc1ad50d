/** Durations of the steps from the loss of a member to the next open group. Attempts of the same repair add up. */
export interface RepairDurations {
    /** From the last event of the group's requests until the loss was found. */
    detectionMs?: number;
    /** Until a group that may go on is given up. */
    givingUpMs?: number;
    /** Until the requests of a group with a leaving member have ended. */
    leavingMs?: number;
    /** Until enough upstreams are available. */
    choosingMs?: number;
    /** From the join orders until all members are known to be ready. */
    joiningMs?: number;
    /** From the open order until the group is known to be open. */
    openingMs?: number;
}
