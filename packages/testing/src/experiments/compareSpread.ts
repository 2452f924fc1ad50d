import type { Comparison } from "./Comparison.js";
import { measureReplicationCost } from "./measureReplicationCost.js";

/** Compares shared probing with probing by every router, and measures the cost of configuration digests. */
export const compareSpread: Comparison = {
    description: "shared probing against probing by every router, and the cost of configuration digests",
    run: async () => {
        const { wire, probing, digests } = await measureReplicationCost();
        return [
            { title: "one message over loopback", rows: wire.map(row => ({ ...row })) },
            { title: "probing", rows: probing.map(row => ({ ...row })) },
            { title: "digests", rows: digests.map(row => ({ ...row })) },
        ];
    },
};
