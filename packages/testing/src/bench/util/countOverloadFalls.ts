import type { RunningSystem } from "../../system/RunningSystem.js";

/** Returns how often replicas have failed because of overload so far, summed over all engines that respond. */
export async function countOverloadFalls(system: RunningSystem): Promise<number> {
    const counts = await Promise.all(
        system.engines().map(async ({ admin }) => {
            const counters = await admin.counters().catch(() => undefined);
            return counters?.overloadFalls ?? 0;
        }),
    );
    return counts.reduce((sum, count) => sum + count, 0);
}
