/** Divides an upstream's limit among the routers that may send calls to it. */
export interface ConcurrencyShare {
    /** Returns how many calls this router may have in progress at an upstream whose total limit is `limit`. */
    allowed(upstream: string, limit: number): number;
}
