import type { ZoneLedger } from "@fescuehaven/resources";
import { FakeConfiguration, FakeEngines, FakeEvidence, FakeVms, ManualClock } from "@fescuehaven/testing";
import { MemoryEventRecorder, SilentLogger } from "@fescuehaven/testing";
import { expect } from "chai";
import { defaultControllerTimings, ZoneFleet } from "../src/index.js";
import { OrderDispatcher } from "../src/OrderDispatcher.js";

const ledger: ZoneLedger = {
    nonce: "n",
    leaseFence: 1,
    lastEpoch: 3,
    claims: { v1: { group: "g", epoch: 3, rank: 0, state: "held" } },
    groups: { g: { epoch: 3, modelVersion: "m", fabricDomain: "d", members: ["v1"] } },
};

function createDispatcher(mayOrder: boolean) {
    const clock = ManualClock.create();
    const engines = FakeEngines.create(clock);
    const vms = FakeVms.create();
    const place = { name: "v1", region: "r", zone: "z", fabricDomain: "d", role: "engine", state: "live" } as const;
    const record = { ...place, address: "127.0.0.1", enginePort: 1, accelerators: 8 };
    vms.put(record);
    const engine = engines.add(record, { obeysFencing: false });
    const evidence = FakeEvidence.create({ clock, engines, ledger: () => ledger });
    const timings = defaultControllerTimings;
    const fleet = ZoneFleet.create({
        zone: "z",
        vms,
        evidence,
        configuration: FakeConfiguration.create(),
        clock,
        timings,
        runningSinceMs: () => 0,
    });
    fleet.refresh(ledger);
    const dispatcher = OrderDispatcher.create({
        engines,
        clock,
        fleet,
        timings,
        recorder: MemoryEventRecorder.create(),
        logger: SilentLogger.create(),
        modelVersion: () => ({ model: "m", version: "1", weightsPerMemberGiB: 1 }),
        mayOrder: () => mayOrder,
    });
    return { clock, engine, fleet, dispatcher };
}

const held = { kind: "load", group: "h", modelVersion: "m", weightsGiB: 1, rank: 0, memberUrls: [] } as const;

const cases = [
    { title: "orders an empty member to load", fence: undefined, mayOrder: true, orders: 1 },
    { title: "orders a member at an older epoch to load", fence: 2, mayOrder: true, orders: 1 },
    { title: "sends no order to a member at a newer epoch", fence: 4, mayOrder: true, orders: 0 },
    { title: "sends nothing without the lease", fence: undefined, mayOrder: false, orders: 0 },
];

describe("OrderDispatcher", () => {
    for (const { title, fence, mayOrder, orders } of cases) {
        it(title, async () => {
            const { clock, dispatcher, engine, fleet } = createDispatcher(mayOrder);
            engine.held = fence === undefined ? undefined : { ...held, fence };
            fleet.refresh(ledger);
            dispatcher.dispatchLoads(ledger);
            await clock.settle();
            expect(engine.appliedOrders).to.have.length(orders);
        });
    }
});
