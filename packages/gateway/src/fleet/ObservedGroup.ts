import type { Upstream } from "../model/Upstream.js";

/** A serving group at its newest epoch, as its members' registrations show it. */
export interface ObservedGroup {
    name: string;
    epoch: number;
    /** Members by rank; ranks of members that are not registered are missing. */
    members: Map<number, Upstream>;
}
