/** How a gateway process runs. */
export interface GatewaySettings {
    /** Name of the entry VM. */
    vm: string;
    /** Address that other VMs reach it at. */
    host: string;
    zone: string;
    /** Address for callers, HOST:PORT. */
    callerListen: string;
    /** Address for readiness checks, HOST:PORT. */
    readinessListen: string;
    /** Where the gateways' own calls to each other arrive. */
    peerListen: { host: string; port: number; };
    /** Where some peers take such calls, HOST:PORT; asked while no registered one is in touch. */
    seedPeers: readonly string[];
    /** Port of counters and histograms. */
    metricsPort: number;
    /** Address of the platform's store, HOST:PORT. */
    storeAddress: string;
    storeWritesPerSecond: number;
    storeReadsPerSecond: number;
    /** Time from SIGTERM until the process is killed, ms. */
    shutdownGraceMs: number;
    /** Time for which a group with a lost member stands still before its head gives it up, ms. */
    groupStallMs: number;
    /** Time between two heartbeats of an upstream, ms. */
    heartbeatIntervalMs: number;
    retryBudget: RetryBudgetSettings;
    /** Window and share above the rate for which loads from the weight store are counted. */
    loadCeiling: { windowMs: number; overage: number; };
}

/** Retries that all gateways together may send to a service within a window. */
interface RetryBudgetSettings {
    ratio: number;
    slack: number;
    windowMs: number;
}
