import type { Comparison } from "./Comparison.js";
import { spreadCost } from "./spreadCost.js";

/** Probing shared against probing by all, and what the digests of the configuration cost. */
export const compareSpread: Comparison = {
    description: "shared probing against probing by all, and digests of the configuration",
    run: async () => {
        const { wire, probing, digests } = await spreadCost();
        return [
            { title: "one message over loopback", rows: wire.map(row => ({ ...row })) },
            { title: "probing", rows: probing.map(row => ({ ...row })) },
            { title: "digests", rows: digests.map(row => ({ ...row })) },
        ];
    },
};
