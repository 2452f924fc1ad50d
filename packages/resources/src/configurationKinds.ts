import type { ResourceKind } from "./ResourceKind.js";

/** The kinds that operators write and every process holds in force. */
export const configurationKinds = [
    "model-version",
    "serving-group",
    "service",
    "route",
    "client-account",
    "maintenance-intent",
] as const satisfies readonly ResourceKind[];
