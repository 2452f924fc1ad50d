import { expect } from "chai";
import { RunningSystem } from "../../src/system/RunningSystem.js";
import { Traffic } from "../../src/system/Traffic.js";
import { untilTrue } from "../../src/util/untilTrue.js";
import { describeProblems } from "./describeProblems.js";
import { systemTestOptions } from "./systemTestOptions.js";

const { clock } = systemTestOptions;
const DEADLINE_MS = 30_000;

describe("outages of the platform", () => {
    let system: RunningSystem;
    let traffic: Traffic | undefined;

    before(async () => {
        system = await RunningSystem.start(systemTestOptions);
        await system.untilPhase("ready");
    });

    afterEach(async () => traffic?.abandon());

    after(async () => system.stop());

    afterEach(async () => {
        await system.platform.setFaults({ outage: false, blockedAddresses: [], silentWatches: false });
    });

    it("serves on, and starts a router anew that learns all from its peers", async () => {
        traffic = await Traffic.start({ system, clock, seed: 31 });
        await traffic.untilEnded(50);
        await system.platform.setFaults({ outage: true });
        await traffic.untilEnded(50);
        const router = system.process("router-c-2");
        await router.kill();
        await router.start();
        await router.untilReady(DEADLINE_MS);
        await traffic.untilEnded(100);
        expect(describeProblems(await traffic.finish())).to.deep.equal([]);
    });

    it("refuses keyed calls in an outage without running them, and takes them afterwards", async () => {
        await system.platform.setFaults({ outage: true });
        const workload = { keyedPart: 1, maxAttempts: 1 };
        traffic = await Traffic.start({ system, clock, seed: 32, workload });
        await traffic.untilEnded(30);
        const refused = await traffic.finish();
        const runs = (await system.executions()).reduce((sum, one) => sum + one.total, 0);
        expect(refused.map(record => record.finalClass)).to.not.include("whole");
        expect(runs).to.equal(0);
        await system.platform.setFaults({ outage: false });
        traffic = await Traffic.start({
            system,
            clock,
            seed: 33,
            workload: { keyedPart: 1, maxAttempts: 10 },
        });
        await traffic.untilEnded(30);
        expect(describeProblems(await traffic.finish())).to.deep.equal([]);
    });

    it("serves in an availability zone that is cut off from the platform, and takes its changes up afterwards", async () => {
        await system.platform.setFaults({ blockedAddresses: system.addressesOf("zone-b") });
        traffic = await Traffic.start({ system, clock, seed: 34 });
        await traffic.untilEnded(150);
        await system.platform.setFaults({ blockedAddresses: [] });
        await system.platform.put(system.objects.zoneOut("zone-b"));
        await system.untilPhase("out-of-service", ["dive-report-b-1"]);
        await system.platform.remove("maintenance-intent", "zone-b-out");
        await system.untilPhase("ready", ["dive-report-b-1"]);
        await traffic.untilEnded(50);
        expect(describeProblems(await traffic.finish())).to.deep.equal([]);
    });

    it("takes changes up although its watches went silent", async () => {
        await system.platform.setFaults({ silentWatches: true });
        await system.platform.put(system.objects.zoneOut("zone-c"));
        await system.platform.setFaults({ silentWatches: false });
        await system.untilPhase("out-of-service", ["dive-report-c-1"]);
        await system.platform.remove("maintenance-intent", "zone-c-out");
        await system.untilPhase("ready", ["dive-report-c-1"]);
        await untilTrue(clock, "no lost process", DEADLINE_MS, () => system.process("router-c-1").isReady());
    });
});
