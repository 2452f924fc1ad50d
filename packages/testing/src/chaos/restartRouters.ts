import type { FaultContext } from "./FaultContext.js";

/** Longest wait for a router that was started again, ms. */
const READY_DEADLINE_MS = 60_000;

/** Ends and starts the routers one after the other; passes over those that another fault holds. */
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
