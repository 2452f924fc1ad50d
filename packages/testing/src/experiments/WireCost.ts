/** What one message costs over loopback TCP; the processor time is that of both ends. */
export interface WireCost {
    operation: "probe" | "digest-exchange" | "evidence-update";
    /** Bytes of TCP payload, both ways. */
    bytes: number;
    /** Processor time, microseconds. */
    cpuMicros: number;
}
