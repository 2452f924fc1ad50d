import type { Comparison } from "./Comparison.js";
import { simulateQueues } from "./simulateQueues.js";

const LOAD = {
    accounts: [
        { name: "flood", weight: 1, callsPerSecond: 400, maxQueued: 1000 },
        { name: "small", weight: 1, callsPerSecond: 5, maxQueued: 100 },
    ],
    slots: 64,
    serviceMs: 500,
    durationMs: 30_000,
};

/** Compares weighted fair queueing with first in, first out, while one client account sends too many calls. */
export const compareQueues: Comparison = {
    description: "weighted fair queueing against first in, first out",
    run: async () => {
        const rows = (["fifo", "fair"] as const).flatMap(policy =>
            [...simulateQueues({ ...LOAD, policy })].map(([account, result]) => ({ policy, account, ...result }))
        );
        return [{ title: "queue", rows }];
    },
};
