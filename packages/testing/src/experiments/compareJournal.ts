import type { Comparison } from "./Comparison.js";
import { measureJournal } from "./measureJournal.js";

const CALLS_PER_SECOND = [10, 50, 100, 200, 400, 1000];

/** Compares journal shards with group commit to one object per key. */
export const compareJournal: Comparison = {
    description: "journal shards with group commit against one object per key",
    run: async () => {
        const results = await measureJournal(CALLS_PER_SECOND);
        const rows = results.map(({ claimMs, finishMs, ...result }) => ({
            ...result,
            claimP50Ms: claimMs.p50,
            claimP99Ms: claimMs.p99,
            finishP50Ms: finishMs.p50,
            finishP99Ms: finishMs.p99,
        }));
        return [{ title: "journal", rows }];
    },
};
