/** Time of a hybrid logical clock: close to wall time, and orders causally related events across processes. */
export interface HybridTimestamp {
    /** Unix milliseconds; never behind a timestamp that the process has created or accepted. */
    wallMs: number;
    /** Counter that orders events with the same `wallMs`. */
    logical: number;
}
