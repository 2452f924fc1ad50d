/** Time from sending a call to the arrival of its response. */
export interface CallTiming {
    /** First token of a streamed response; the complete body of another one. */
    firstPartMs: number;
    totalMs: number;
}
