/**
 * Times of readiness evidence. A member that dies at T answers no probe sent after T. Evidence counts from when its
 * probe was sent and is good for `ttlMs`, so the last dispatch to its group comes at the latest at T + `ttlMs`.
 */
export const evidenceTimes = {
    /** Age at which an observation stops being evidence: the bound from a member's death to the last dispatch, ms. */
    ttlMs: 1000,
    /** Time between two probes of a claimed VM by its prober, ms. */
    claimedIntervalMs: 250,
    /** Time between two probes of an unclaimed VM by its prober, ms. */
    unclaimedIntervalMs: 2000,
    /** The backup prober steps in when the newest observation is older than this many intervals. */
    backupIntervals: 1.8,
    /** Every other process probes for itself when the newest observation is older than this many intervals. */
    selfIntervals: 2.6,
    /** Time between two probes of a claimed VM by a process that others tell it is unreachable, ms. */
    verifyIntervalMs: 500,
    /** Longest wait for an answer to a probe, ms. */
    probeTimeoutMs: 400,
    /** Time between two looks at what is due, ms. */
    tickMs: 50,
    /** A tick that comes this late means that the process was paused: all evidence is dropped, ms. */
    pauseMs: 500,
    /** New observations are collected for this long before they are sent, ms. */
    batchMs: 25,
    /** A stream without new observations sends a heartbeat after this long, ms. */
    heartbeatMs: 250,
    /** A stream that is silent for this long is given up, ms. */
    streamSilenceMs: 750,
    /** Time between two samples of a peer's clock, ms. */
    clockSampleMs: 5000,
    /** Waits before a lost stream is dialled again, ms. */
    redialFirstMs: 50,
    redialMaxMs: 1000,
} as const;
