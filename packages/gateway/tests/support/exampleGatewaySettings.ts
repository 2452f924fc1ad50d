import type { GatewaySettings } from "../../src/GatewaySettings.js";

/** Settings of a gateway that listens on a free port of the loopback interface. */
export const exampleGatewaySettings: GatewaySettings = {
    vm: "gateway-0",
    host: "127.0.0.1",
    zone: "a",
    callerListen: "",
    readinessListen: "",
    peerListen: { host: "127.0.0.1", port: 0 },
    seedPeers: [],
    metricsPort: 0,
    storeAddress: "",
    storeWritesPerSecond: 400,
    storeReadsPerSecond: 2000,
    shutdownGraceMs: 8000,
    groupStallMs: 4000,
    heartbeatIntervalMs: 1200,
    changeDeadlineMs: 2000,
    retryBudget: { ratio: 0.2, slack: 130, windowMs: 10_000 },
    loadCeiling: { windowMs: 5000, overage: 1.1 },
};
