import { expect } from "chai";
import { chooseNetwork } from "../../src/network/chooseNetwork.js";
import { SilentRelay } from "../../src/network/SilentRelay.js";
import { RunningSystem } from "../../src/system/RunningSystem.js";
import { Traffic } from "../../src/system/Traffic.js";
import { SystemTopology } from "../../src/topology/SystemTopology.js";
import { untilTrue } from "../../src/util/untilTrue.js";
import { describeProblems } from "./describeProblems.js";
import { systemTestOptions } from "./systemTestOptions.js";

const { clock, random } = systemTestOptions;
const DEADLINE_MS = 30_000;

/** Port of the relay in front of an engine, as an offset from the engine's own port. */
const RELAY_PORT_OFFSET = 50;

const VMS = { engineVmsPerZone: 3 };
const STREAM_WORKLOAD = { streamedPart: 1, minTokens: 100, maxTokens: 200, callsPerSecond: 15 };

describe("connections that go silent", () => {
    const relays: SilentRelay[] = [];
    let system: RunningSystem;
    let traffic: Traffic | undefined;

    before(async () => {
        const network = await chooseNetwork(random);
        const vms = SystemTopology.create({ ...network, ...VMS }).vmRecords();
        for (const vm of vms.filter(candidate => candidate.role === "engine" && candidate.zone === "zone-a")) {
            const relay = SilentRelay.create({ target: { host: vm.address, port: vm.enginePort }, clock });
            await relay.listen(vm.address, vm.enginePort + RELAY_PORT_OFFSET);
            relays.push(relay);
            vm.enginePort += RELAY_PORT_OFFSET;
        }
        system = await RunningSystem.start({
            ...systemTestOptions,
            network,
            topology: { ...VMS, engineBehaviour: { tokenMs: 10 }, platform: { vms } },
        });
        await system.untilPhase("ready");
    });

    afterEach(async () => traffic?.abort());

    after(async () => {
        await system.stop();
        await Promise.all(relays.map(relay => relay.close()));
    });

    async function countStartedInZoneA(): Promise<number> {
        const engines = system.engines().filter(engine => engine.zone === "zone-a");
        const counters = await Promise.all(engines.map(engine => engine.admin.counters()));
        return counters.reduce((sum, counter) => sum + counter.started, 0);
    }

    it("are replaced by new ones, and the responses on them are completed", async () => {
        traffic = await Traffic.start({ system, clock, seed: 61, workload: STREAM_WORKLOAD });
        await traffic.untilEnded(60);
        const engines = system.engines().filter(engine => engine.zone === "zone-a");
        await untilTrue(clock, "streams in zone-a", DEADLINE_MS, async () => {
            const reports = await Promise.all(engines.map(engine => engine.admin.report()));
            return reports.some(report => report.runningRequests > 1);
        });
        const started = await countStartedInZoneA();
        relays.forEach(relay => relay.silenceOpenConnections());
        await untilTrue(
            clock,
            "new requests in zone-a",
            DEADLINE_MS,
            async () => (await countStartedInZoneA()) > started + 10,
        );
        await traffic.untilEnded(60);
        expect(describeProblems(await traffic.finish())).to.deep.equal([]);
    });

    it("count as lost when an engine receives data but its responses do not arrive", async () => {
        traffic = await Traffic.start({ system, clock, seed: 62, workload: STREAM_WORKLOAD });
        await traffic.untilEnded(40);
        relays.forEach(relay => relay.set({ kind: "silent", direction: "to-source" }));
        await traffic.untilEnded(80);
        relays.forEach(relay => relay.set({ kind: "forward" }));
        await system.untilPhase("ready", ["dive-report-a-1"]);
        expect(describeProblems(await traffic.finish())).to.deep.equal([]);
    });
});
