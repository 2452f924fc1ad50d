/** Load at one place. */
export interface TargetLoad {
    /** Requests sent and not ended. */
    inFlight: number;
    /** Prompt tokens of requests that have had no event yet. */
    pendingPrefillTokens: number;
    /** Time since the place last sent an event while requests were waiting for one, ms. */
    silentMs: number;
}
