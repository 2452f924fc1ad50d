import type { GatewayMetrics } from "../../src/ports/GatewayMetrics.js";

/** Metrics that are discarded. */
export const noMetrics: GatewayMetrics = { count: () => undefined, observe: () => undefined };
