/** When the parts of an answer came, ms after the call was sent. */
export interface CallTiming {
    /** First token of a streamed answer; the whole of another. */
    firstMs: number;
    wholeMs: number;
}
