/** Which part of a zone's requests is served in other zones. */
export interface SpilloverDecision {
    /** Fraction of the zone's requests that leave it, 0 to 1. */
    share: number;
    /** Other zones that can take requests, with their parts of what leaves, which add up to 1; empty if none can. */
    targets: ReadonlyArray<{ zone: string; fraction: number; }>;
    reason:
        | "own zone suffices"
        | "own zone is short"
        | "own zone has no group"
        | "no other zone has room"
        | "view is stale";
}
