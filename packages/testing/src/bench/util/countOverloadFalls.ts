import type { RunningSystem } from "../../system/RunningSystem.js";

/** How often replicas fell over for overload so far, over all engines that answer. */
export async function countOverloadFalls(system: RunningSystem): Promise<number> {
    const falls = await Promise.all(
        system.engines().map(async ({ admin }) => {
            const counters = await admin.counters().catch(() => undefined);
            return counters?.overloadFalls ?? 0;
        }),
    );
    return falls.reduce((sum, count) => sum + count, 0);
}
