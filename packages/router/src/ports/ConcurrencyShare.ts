/** Divides an upstream's limit over the routers that may send to it. */
export interface ConcurrencyShare {
    /** Calls that this router may have in progress at the upstream while its whole limit is `limit`. */
    allowed(upstream: string, limit: number): number;
}
