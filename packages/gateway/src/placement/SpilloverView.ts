/** What a zone's open groups can take at present, as this gateway sees it. */
interface ZoneView {
    zone: string;
    /** One-way latency from this gateway's zone; 0 for the own zone. */
    delayMs: number;
    groups: ReadonlyArray<{
        /** Requests that the group may hold at once; fewer than the engine's slots while its head is cold. */
        slots: number;
        inFlight: number;
        /** Predicted time until the first event of one more request. */
        firstEventMs: number;
    }>;
    /** Requests per second that arrive in the zone; undefined where not all gateways report them. */
    demandPerSecond?: number;
}

/** Input of one spillover decision for the requests of one model. */
export interface SpilloverView {
    /** Time on the monotonic clock. */
    nowMs: number;
    /** True while the view of the upstreams is too old to decide by. */
    isStale: boolean;
    /** Latest first event that is of use to callers, from the arrival of the request. */
    targetMs: number;
    /** Mean time for which a request holds a slot. */
    holdMs: number;
    /** All zones with open groups that can be reached. */
    zones: readonly ZoneView[];
}
