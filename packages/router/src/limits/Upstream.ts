/** An upstream with its limits: the head of a serving group or an endpoint of a plain service. */
export interface Upstream {
    /** Unique among the upstreams of the zone. */
    name: string;
    /** Changes when the upstream may have become cold: the claim's epoch and the boot ids of all members. */
    identity: string;
    /** Calls that it can serve at once when warm. */
    warmLimit: number;
    /** Calls that it can serve at once right after a cold start. */
    coldLimit: number;
}
