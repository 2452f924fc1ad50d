/** Cost of one message over loopback TCP; the processor time includes client and server. */
export interface WireCost {
    operation: "probe" | "digest-exchange" | "evidence-update";
    /** Bytes of TCP payload in both directions. */
    bytes: number;
    /** Processor time in microseconds. */
    cpuMicros: number;
}
