/** A gateway whose view of the store can be read. */
export interface ViewSource {
    address: string;
    /** Aborts when its view must no longer be read, such as when it falls silent. */
    silent: AbortSignal;
    /** True if it runs in the zone of this gateway. */
    isInSameZone: boolean;
}
