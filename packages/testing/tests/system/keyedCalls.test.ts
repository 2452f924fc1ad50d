import { expect } from "chai";
import { auditExecutions } from "../../src/callers/auditExecutions.js";
import { RunningSystem } from "../../src/system/RunningSystem.js";
import { Traffic } from "../../src/system/Traffic.js";
import { systemTestOptions } from "./systemTestOptions.js";

const { clock } = systemTestOptions;
const DEADLINE_MS = 30_000;

describe("calls that may not be repeated", () => {
    let system: RunningSystem;
    let traffic: Traffic | undefined;

    before(async () => {
        system = await RunningSystem.start(systemTestOptions);
        await system.untilPhase("ready");
    });

    afterEach(async () => traffic?.abandon());

    after(async () => system.stop());

    it("run at most once, and never after a refusal that says they did not", async () => {
        const workload = { keyedPart: 1, callsPerSecond: 60, maxAttempts: 6, timeoutMs: 5000 };
        traffic = await Traffic.start({ system, clock, seed: 51, workload });
        await traffic.untilEnded(60);
        await system.platform.setFaults({ loseNextAnswers: 5 });
        await traffic.untilEnded(60);
        await system.platform.setFaults({ loseNextWrites: 5 });
        await Promise.all(
            system.topology.options.zones.map(zone =>
                system.service(zone).setFaults({ dieAfterExecuting: 3, refuse: 3 })
            ),
        );
        await traffic.untilEnded(100);
        const router = system.process("router-b-1");
        await router.kill();
        await traffic.untilEnded(60);
        await router.start();
        await router.untilReady(DEADLINE_MS);
        await traffic.untilEnded(60);
        const records = await traffic.finish();
        expect(auditExecutions(records, await system.executions())).to.deep.equal({
            ranTwice: [],
            falseRefusals: [],
            answeredWithoutRun: [],
        });
        const whole = records.filter(record => record.finalClass === "whole").length;
        expect(whole / records.length).to.be.greaterThan(0.9);
    });
});
