/** A gateway whose view of the store can be read. */
export interface ViewSource {
    address: string;
    /** Aborts when its view must no longer be read, such as when it falls silent. */
    silent: AbortSignal;
}
