/** What callers may send, and how long they may take. */
export interface IngressLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    /** An idle connection is closed after this time, ms. */
    idleTimeoutMs: number;
}
