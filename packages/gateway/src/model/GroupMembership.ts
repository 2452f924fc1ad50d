/** What an upstream says of the serving group that it belongs to. */
export interface GroupMembership {
    name: string;
    epoch: number;
    /** Place in the group's member list; 0 is the head, which takes the requests. */
    rank: number;
    phase: "joining" | "ready" | "open" | "closing" | "broken";
}
