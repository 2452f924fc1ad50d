import type { Upstream } from "../model/Upstream.js";

/** A serving group as its members' own words show it, at its newest epoch. */
export interface ObservedGroup {
    name: string;
    epoch: number;
    /** Members by rank; gaps belong to members that are not registered. */
    members: Map<number, Upstream>;
}
