/** Limits on the size of callers' requests and the time to send them. */
export interface IngressLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    /** Idle connections are closed after this time. */
    idleTimeoutMs: number;
}
