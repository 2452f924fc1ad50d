/** Settings of a gateway process. */
export interface GatewaySettings {
    /** Name of the entry VM. */
    vm: string;
    /** Address at which other VMs reach this VM. */
    host: string;
    zone: string;
    /** Processor time of the VM, in cores; absent if it is not known. */
    processorCores?: number;
    /** Memory of the VM; absent if it is not known. */
    memoryBytes?: number;
    /** Number of files and connections that the process may have open; absent if it is not known. */
    fileDescriptors?: number;
    /** Address for callers, HOST:PORT. */
    callerListen: string;
    /** Address for readiness checks, HOST:PORT. */
    readinessListen: string;
    /** Address on which this gateway listens for calls from other gateways. */
    peerListen: { host: string; port: number; };
    /** Address on which this gateway relays requests of other gateways to upstreams; absent if no port is free for it. */
    relayListen?: { host: string; port: number; };
    /** Addresses of some peers, HOST:PORT; used while no registered peer is connected. */
    seedPeers: readonly string[];
    /** Port on which metrics are served. */
    metricsPort: number;
    /** Address of the platform's store, HOST:PORT. */
    storeAddress: string;
    storeWritesPerSecond: number;
    storeReadsPerSecond: number;
    /** Time from SIGTERM until the process is killed. */
    shutdownGraceMs: number;
    /** Time for which the head of a group with an unresponsive member waits before it gives the group up. */
    groupStallMs: number;
    heartbeatIntervalMs: number;
    /** Time within which a change in the store must be in effect at all gateways. */
    changeDeadlineMs: number;
    retryBudget: RetryBudgetSettings;
    /** Limit on loads from the weight store: the counting window, and the share by which the rate may be exceeded. */
    loadCeiling: { windowMs: number; overage: number; };
}

/** Limit on the retries that all gateways together may send to a service within a window. */
interface RetryBudgetSettings {
    ratio: number;
    slack: number;
    windowMs: number;
}
