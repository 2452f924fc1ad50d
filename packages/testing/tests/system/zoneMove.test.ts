import { expect } from "chai";
import type { Traffic } from "../../src/system/Traffic.js";
import { untilTrue } from "../../src/util/untilTrue.js";
import { describeProblems } from "./describeProblems.js";
import { systemTestOptions } from "./systemTestOptions.js";
import { useSystem } from "./useSystem.js";

const { clock } = systemTestOptions;
const DEADLINE_MS = 30_000;

/** Time after which an availability zone that was taken out of service must not receive new requests. */
const NEW_REQUESTS_BOUND_MS = 5000;

describe("an availability zone that is taken out of service and returns", () => {
    const running = useSystem();

    async function countStarted(zone: string): Promise<number> {
        const engines = running.system.engines().filter(engine => engine.zone === zone);
        const counters = await Promise.all(engines.map(engine => engine.admin.counters()));
        return counters.reduce((sum, counter) => sum + counter.started, 0);
    }

    /** Polls a zone's engines while `count` calls end; returns how many requests they started, and when the last one. */
    async function findLastNewRequest(zone: string, traffic: Traffic, count: number) {
        const target = traffic.records.length + count;
        let started = await countStarted(zone);
        let lastMs = clock.monotonicMs();
        await untilTrue(clock, `${count} calls`, DEADLINE_MS, async () => {
            const now = await countStarted(zone);
            if (now !== started) {
                started = now;
                lastMs = clock.monotonicMs();
            }
            return traffic.records.length >= target;
        });
        return { started, lastMs };
    }

    it("gets no new requests after the bound, loses no response, and serves again without an engine's overload", async () => {
        const traffic = await running.startTraffic(41, { callsPerSecond: 30 });
        await traffic.untilEnded(100);
        expect(await countStarted("zone-a")).to.be.greaterThan(0);
        const outMs = clock.monotonicMs();
        await running.system.platform.put(running.system.objects.zoneDrainIntent("zone-a"));
        const { started, lastMs } = await findLastNewRequest("zone-a", traffic, 250);
        expect(lastMs - outMs).to.be.lessThan(NEW_REQUESTS_BOUND_MS);
        await running.system.platform.remove("maintenance-intent", "zone-a-out");
        await running.system.untilPhase("ready", ["dive-report-a-1"]);
        await untilTrue(
            clock,
            "new requests in zone-a",
            DEADLINE_MS,
            async () => (await countStarted("zone-a")) > started + 50,
        );
        expect(describeProblems(await traffic.finish())).to.deep.equal([]);
        const counters = await Promise.all(running.system.engines().map(engine => engine.admin.counters()));
        expect(counters.map(counter => counter.overloadFalls)).to.deep.equal(counters.map(() => 0));
    });

    it("completes every call while all routers are restarted one after the other", async () => {
        const traffic = await running.startTraffic(42);
        await traffic.untilEnded(30);
        for (const vm of running.system.topology.entryVms) {
            const router = running.system.process(vm.router.name);
            expect(await router.stop()).to.equal(true);
            await router.start();
            await router.untilReady(DEADLINE_MS);
            await traffic.untilEnded(20);
        }
        const records = await traffic.finish();
        expect(describeProblems(records)).to.deep.equal([]);
        const classes = records.flatMap(record => record.attempts).map(attempt => attempt.responseClass);
        expect([...new Set(classes)]).to.have.members(
            classes.includes("refused-did-not-run") ? ["correct", "refused-did-not-run"] : ["correct"],
        );
    });
});
