/** A hybrid logical clock's time: orders events over processes by cause, close to wall time. */
export interface HybridTimestamp {
    /** Unix milliseconds; never behind any time stamp that the process has seen. */
    wallMs: number;
    /** Orders events of the same `wallMs`. */
    logical: number;
}
