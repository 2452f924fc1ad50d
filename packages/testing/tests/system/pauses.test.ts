import { expect } from "chai";
import { untilTrue } from "../../src/util/untilTrue.js";
import { describeProblems } from "./describeProblems.js";
import { systemTestOptions } from "./systemTestOptions.js";
import { useSystem } from "./useSystem.js";

const { clock } = systemTestOptions;
const DEADLINE_MS = 30_000;

describe("paused processes", () => {
    const running = useSystem();

    it("completes every call while a router is paused and after it is resumed", async () => {
        const traffic = await running.startTraffic(21);
        await traffic.untilEnded(50);
        const router = running.system.process("router-a-1");
        router.pause();
        await traffic.untilEnded(100);
        router.resume();
        await untilTrue(clock, "resumed router ready", DEADLINE_MS, () => router.isReady());
        await traffic.untilEnded(100);
        expect(describeProblems(await traffic.finish())).to.deep.equal([]);
    });

    it("replaces a controller that is paused past its lease, and keeps each VM in one group after it is resumed", async () => {
        const holder = await running.system.activeController("zone-b");
        expect(holder).to.match(/^controller-b-/);
        const fence = (await running.system.platform.get("zone-lease", "zone-b"))?.value.fence ?? 0;
        running.system.process(holder).pause();
        await untilTrue(clock, "another active controller", DEADLINE_MS, async () => {
            const lease = await running.system.platform.get("zone-lease", "zone-b");
            return lease !== undefined && lease.value.fence > fence && lease.value.holder !== holder;
        });
        const successor = await running.system.activeController("zone-b");
        const member = (await running.system.status("dive-report-b-1"))?.members[1] ?? "";
        await running.system.engine(member).setFaults({ restart: true });
        running.system.process(holder).resume();
        await untilTrue(clock, "resumed", DEADLINE_MS, () => running.system.process(holder).isReady());
        await running.system.untilPhase("ready", ["dive-report-b-1"]);
        expect(await running.system.activeController("zone-b")).to.equal(successor);
        const ledger = (await running.system.platform.get("zone-ledger", "zone-b"))?.value;
        const members = Object.values(ledger?.groups ?? {}).flatMap(group => group.members);
        expect(members).to.have.length(new Set(members).size);
        const traffic = await running.startTraffic(22);
        await traffic.untilEnded(50);
        expect(describeProblems(await traffic.finish())).to.deep.equal([]);
    });
});
