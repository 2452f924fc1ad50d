/**
 * Timings of readiness evidence. A member that dies at T responds to no probe sent after T. Evidence is valid for
 * `ttlMs` from when its probe was sent, so the last dispatch to the member's group is at T + `ttlMs` at the latest.
 */
export const evidenceTimes = {
    /** Age at which an observation stops being evidence: bounds the time from a member's death to the last dispatch. */
    ttlMs: 1000,
    /** Interval between probes of a claimed VM by its prober. */
    claimedIntervalMs: 250,
    /** Interval between probes of an unclaimed VM by its prober. */
    unclaimedIntervalMs: 2000,
    /** The backup probes when the newest observation is older than this many intervals. */
    backupIntervals: 1.8,
    /** Every other process probes when the newest observation is older than this many intervals. */
    listenerIntervals: 2.6,
    /** Interval between probes of a claimed VM by a process whose newest observation is that it is unreachable. */
    verifyIntervalMs: 500,
    /** Longest wait for the response to a probe. */
    probeTimeoutMs: 400,
    /** Interval between checks for due probes. */
    tickMs: 50,
    /** A longer gap between ticks means that the process was paused: all evidence is dropped. */
    pauseThresholdMs: 500,
    /** Time for which new observations are collected before they are sent. */
    batchMs: 25,
    /** A stream without new observations sends a heartbeat after this long. */
    heartbeatMs: 250,
    /** A stream that is silent for this long is closed. */
    streamSilenceMs: 750,
    /** Interval between samples of a peer's clock. */
    clockSampleMs: 5000,
    /** Backoff before a closed stream is opened again. */
    reconnectFirstMs: 50,
    reconnectMaxMs: 1000,
} as const;
