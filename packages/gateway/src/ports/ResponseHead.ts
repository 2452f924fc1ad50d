/** Status and headers of an upstream's response. */
export interface ResponseHead {
    status: number;
    /** Alternating names and values, without hop-by-hop headers. */
    headers: readonly string[];
}
