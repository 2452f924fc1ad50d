import type { GatewayMetrics } from "../../src/ports/GatewayMetrics.js";

/** Metrics that nobody reads. */
export const noMetrics: GatewayMetrics = { count: () => undefined, observe: () => undefined };
