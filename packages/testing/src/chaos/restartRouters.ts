import type { FaultContext } from "./FaultContext.js";

/** Longest wait until a restarted router is ready. */
const READY_DEADLINE_MS = 60_000;

/** Restarts the routers one after the other; skips those that another fault is disturbing. */
export async function restartRouters({ system, state }: FaultContext): Promise<void> {
    for (const vm of system.topology.entryVms) {
        const { name } = vm.router;
        await state.disturb(name, async () => {
            const router = system.process(name);
            await router.stop();
            await router.start();
            await router.untilReady(READY_DEADLINE_MS);
        });
    }
}
