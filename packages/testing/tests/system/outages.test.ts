import { expect } from "chai";
import { untilTrue } from "../../src/util/untilTrue.js";
import { describeProblems } from "./describeProblems.js";
import { systemTestOptions } from "./systemTestOptions.js";
import { useSystem } from "./useSystem.js";

const { clock } = systemTestOptions;
const DEADLINE_MS = 30_000;

describe("outages of the platform", () => {
    const running = useSystem();

    afterEach(async () => {
        await running.system.platform.setFaults({ outage: false, blockedAddresses: [], silentWatches: false });
    });

    it("keeps serving, and a restarted router gets its configuration from its peers", async () => {
        const traffic = await running.startTraffic(31);
        await traffic.untilEnded(50);
        await running.system.platform.setFaults({ outage: true });
        await traffic.untilEnded(50);
        const router = running.system.process("router-c-2");
        await router.kill();
        await router.start();
        await router.untilReady(DEADLINE_MS);
        await traffic.untilEnded(100);
        expect(describeProblems(await traffic.finish())).to.deep.equal([]);
    });

    it("refuses keyed calls during an outage without running them, and accepts them afterwards", async () => {
        await running.system.platform.setFaults({ outage: true });
        const workload = { keyedPart: 1, maxAttempts: 1 };
        const traffic = await running.startTraffic(32, workload);
        await traffic.untilEnded(30);
        const refused = await traffic.finish();
        const runs = (await running.system.executions()).reduce((sum, one) => sum + one.total, 0);
        expect(refused.map(record => record.finalClass)).to.not.include("correct");
        expect(runs).to.equal(0);
        await running.system.platform.setFaults({ outage: false });
        const repeated = await running.startTraffic(33, { keyedPart: 1, maxAttempts: 10 });
        await repeated.untilEnded(30);
        expect(describeProblems(await repeated.finish())).to.deep.equal([]);
    });

    it("serves in an availability zone that cannot reach the platform, and applies changes afterwards", async () => {
        await running.system.platform.setFaults({ blockedAddresses: running.system.addressesOf("zone-b") });
        const traffic = await running.startTraffic(34);
        await traffic.untilEnded(150);
        await running.system.platform.setFaults({ blockedAddresses: [] });
        await running.system.platform.put(running.system.objects.zoneDrainIntent("zone-b"));
        await running.system.untilPhase("out-of-service", ["dive-report-b-1"]);
        await running.system.platform.remove("maintenance-intent", "zone-b-out");
        await running.system.untilPhase("ready", ["dive-report-b-1"]);
        await traffic.untilEnded(50);
        expect(describeProblems(await traffic.finish())).to.deep.equal([]);
    });

    it("applies changes that were made while its watches were silent", async () => {
        await running.system.platform.setFaults({ silentWatches: true });
        await running.system.platform.put(running.system.objects.zoneDrainIntent("zone-c"));
        await running.system.platform.setFaults({ silentWatches: false });
        await running.system.untilPhase("out-of-service", ["dive-report-c-1"]);
        await running.system.platform.remove("maintenance-intent", "zone-c-out");
        await running.system.untilPhase("ready", ["dive-report-c-1"]);
        await untilTrue(clock, "router-c-1 ready", DEADLINE_MS, () => running.system.process("router-c-1").isReady());
    });
});
