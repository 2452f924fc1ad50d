import type { ResourceKind } from "./ResourceKind.js";

/** Kinds of the objects that operators write and that make up the active configuration of every process. */
export const configurationKinds = [
    "model-version",
    "serving-group",
    "service",
    "route",
    "client-account",
    "maintenance-intent",
] as const satisfies readonly ResourceKind[];
