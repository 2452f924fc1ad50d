/** Requests for a pool by what has become of them. */
export interface DemandCounts {
    offered: number;
    /** Requests that were sent to an upstream; a retry is not counted again. */
    admitted: number;
    /** Requests that were refused without having run. */
    refused: number;
    /**
     * Requests whose first event came after the route's target latency, that ended after it without an event, or for which
     * no slot was free in time.
     */
    late: number;
}
