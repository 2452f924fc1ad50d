import { configurationKinds } from "./configurationKinds.js";
import type { ResourceKind } from "./ResourceKind.js";

/** The kinds that every process watches and that peers pass on to each other. */
export const replicatedKinds = [...configurationKinds, "zone-ledger"] as const satisfies readonly ResourceKind[];
