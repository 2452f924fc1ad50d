import type { ObjectStore, UpdateOutcome } from "@fescuehaven/platform";
import { ManualClock } from "../fakes/ManualClock.js";
import { MemoryObjectStore } from "../fakes/MemoryObjectStore.js";
import { SeededRandom } from "../fakes/SeededRandom.js";
import type { ClaimLayout } from "./ClaimLayout.js";
import { LedgerClaims } from "./LedgerClaims.js";
import type { LedgerLayoutResult } from "./LedgerLayoutResult.js";
import { VmObjectClaims } from "./VmObjectClaims.js";

/** Latency of the simulated platform. */
const STORE_LATENCY_MS = 5;

/** Size of the zone and of the groups that are claimed in it. */
interface LedgerLayoutScenario {
    vmCount: number;
    memberCount: number;
    groupCount: number;
    /** Number of controllers that consider themselves active at the same time. */
    controllerCount: number;
}

const layouts: Record<string, (store: ObjectStore, vms: readonly string[], name: string) => ClaimLayout> = {
    "one ledger a zone": (store, vms, name) =>
        LedgerClaims.create({ store, vms, random: SeededRandom.create(1, name) }),
    "one object a VM": (store, vms) => VmObjectClaims.create({ store, vms }),
};

/** Claims the same groups with each layout; measures writes, conflicts, time and the VMs left claimed after a kill. */
export async function compareLedgerLayouts(scenario: LedgerLayoutScenario): Promise<LedgerLayoutResult[]> {
    const results: LedgerLayoutResult[] = [];
    for (const layout of Object.keys(layouts)) {
        results.push({ layout, ...await claimAll(layout, scenario), ...await killAtEachWrite(layout, scenario) });
    }
    return results;
}

async function claimAll(layout: string, scenario: LedgerLayoutScenario) {
    const zone = createZone(layout, scenario.vmCount);
    let conflicts = 0;
    const counted = observeWrites(zone.store, outcome => conflicts += outcome.kind === "conflict" ? 1 : 0);
    const controllers = Array.from(
        { length: scenario.controllerCount },
        (_, index) => zone.open(`c${index}`, counted),
    );
    let claimedMs = 0;
    const shares = controllers.map(async (controller, index) => {
        for (let group = index; group < scenario.groupCount; group += scenario.controllerCount) {
            const startedMs = zone.clock.monotonicMs();
            await controller.claim(`g${group}`, scenario.memberCount);
            claimedMs += zone.clock.monotonicMs() - startedMs;
        }
    });
    await advanceUntilDone(zone.clock, Promise.all(shares));
    return {
        writesPerGroup: zone.store.calls.write / scenario.groupCount,
        conflictsPerGroup: conflicts / scenario.groupCount,
        claimMs: claimedMs / scenario.groupCount,
    };
}

/** For each write of one claim, simulates a controller that is killed right after that write has taken effect. */
async function killAtEachWrite(layout: string, { memberCount, vmCount }: LedgerLayoutScenario) {
    const leftovers: number[] = [];
    for (let write = 1; write <= memberCount; write++) {
        const zone = createZone(layout, vmCount);
        let writes = 0;
        const failingStore: ObjectStore = Object.assign(Object.create(zone.store) as ObjectStore, {
            write: (...[key, value, expected]: Parameters<ObjectStore["write"]>) => {
                writes += 1;
                return writes <= write ? zone.store.write(key, value, expected) : new Promise(() => {});
            },
        });
        void zone.open("c", failingStore).claim("g", memberCount);
        await zone.clock.advance(1000);
        if (writes < write) {
            break;
        }
        const claimed = await advanceUntilDone(zone.clock, zone.open("reader", zone.store).claimedVms());
        const members = claimed.get("g")?.length ?? 0;
        leftovers.push(members === memberCount ? 0 : members);
    }
    return {
        leftoverVmsPerKill: leftovers.reduce((sum, vms) => sum + vms, 0) / leftovers.length,
        killsWithLeftovers: leftovers.filter(vms => vms > 0).length / leftovers.length,
    };
}

function createZone(layout: string, vmCount: number) {
    const clock = ManualClock.create();
    const store = MemoryObjectStore.create(clock);
    store.faults.delayMs = STORE_LATENCY_MS;
    const vms = Array.from({ length: vmCount }, (_, index) => `vm-${String(index).padStart(3, "0")}`);
    const open = (name: string, through: ObjectStore): ClaimLayout => {
        const create = layouts[layout];
        if (!create) {
            throw new Error(`No layout ${layout}.`);
        }
        return create(through, vms, name);
    };
    return { clock, store, open };
}

function observeWrites(store: ObjectStore, onOutcome: (outcome: UpdateOutcome) => void): ObjectStore {
    return Object.assign(Object.create(store) as ObjectStore, {
        write: async (...call: Parameters<ObjectStore["write"]>) => {
            const outcome = await store.write(...call);
            onOutcome(outcome);
            return outcome;
        },
    });
}

async function advanceUntilDone<T>(clock: ManualClock, task: Promise<T>): Promise<T> {
    let done = false;
    void task.finally(() => done = true);
    while (!done) {
        await clock.advance(1);
    }
    return task;
}
