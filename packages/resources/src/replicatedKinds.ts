import { configurationKinds } from "./configurationKinds.js";
import type { ResourceKind } from "./ResourceKind.js";

/** Kinds of the objects that every process watches and replicates to its peers. */
export const replicatedKinds = [...configurationKinds, "zone-ledger"] as const satisfies readonly ResourceKind[];
