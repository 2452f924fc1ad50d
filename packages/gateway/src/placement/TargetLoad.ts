/** Load of one target: a group or a plain upstream. */
export interface TargetLoad {
    /** Number of requests that were sent and have not ended. */
    inFlight: number;
    /** Total prompt tokens of requests that have had no event yet. */
    pendingPrefillTokens: number;
    /**
     * Total tokens of which each request is expected to hold its share at its end: its prompt and its response. Undefined if
     * no request's tokens are known.
     */
    heldTokens?: number;
    /** Time since the target's last event while it had requests in flight whose responses were read. */
    silentMs: number;
}
