/** Membership of an upstream in a serving group, as reported by the upstream. */
export interface GroupMembership {
    name: string;
    epoch: number;
    /** Index in the group's member list; 0 is the head, which takes the group's requests. */
    rank: number;
    phase: "joining" | "ready" | "open" | "closing" | "broken";
}
