import { expect } from "chai";
import { RunningSystem } from "../../src/system/RunningSystem.js";
import { Traffic } from "../../src/system/Traffic.js";
import { untilTrue } from "../../src/util/untilTrue.js";
import { describeProblems } from "./describeProblems.js";
import { systemTestOptions } from "./systemTestOptions.js";

const { clock } = systemTestOptions;
const DEADLINE_MS = 30_000;

describe("paused processes", () => {
    let system: RunningSystem;
    let traffic: Traffic | undefined;

    before(async () => {
        system = await RunningSystem.start(systemTestOptions);
        await system.untilPhase("ready");
    });

    afterEach(async () => traffic?.abandon());

    after(async () => system.stop());

    it("answers every call whole while a router is paused and when it goes on", async () => {
        traffic = await Traffic.start({ system, clock, seed: 21 });
        await traffic.untilEnded(50);
        const router = system.process("router-a-1");
        router.pause();
        await traffic.untilEnded(100);
        router.resume();
        await untilTrue(clock, "router back", DEADLINE_MS, () => router.isReady());
        await traffic.untilEnded(100);
        expect(describeProblems(await traffic.finish())).to.deep.equal([]);
    });

    it("replaces a controller that is paused past its lease, and keeps each VM in one group when it goes on", async () => {
        const holder = await system.activeController("zone-b");
        expect(holder).to.match(/^controller-b-/);
        const fence = (await system.platform.get("zone-lease", "zone-b"))?.value.fence ?? 0;
        system.process(holder).pause();
        await untilTrue(clock, "another controller", DEADLINE_MS, async () => {
            const lease = await system.platform.get("zone-lease", "zone-b");
            return lease !== undefined && lease.value.fence > fence && lease.value.holder !== holder;
        });
        const successor = await system.activeController("zone-b");
        const member = (await system.status("dive-report-b-1"))?.members[1] ?? "";
        await system.engine(member).setFaults({ restart: true });
        system.process(holder).resume();
        await untilTrue(clock, "resumed", DEADLINE_MS, () => system.process(holder).isReady());
        await system.untilPhase("ready", ["dive-report-b-1"]);
        expect(await system.activeController("zone-b")).to.equal(successor);
        const ledger = (await system.platform.get("zone-ledger", "zone-b"))?.value;
        const members = Object.values(ledger?.groups ?? {}).flatMap(group => group.members);
        expect(members).to.have.length(new Set(members).size);
        traffic = await Traffic.start({ system, clock, seed: 22 });
        await traffic.untilEnded(50);
        expect(describeProblems(await traffic.finish())).to.deep.equal([]);
    });
});
