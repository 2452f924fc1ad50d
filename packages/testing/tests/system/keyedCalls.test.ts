import { expect } from "chai";
import { auditExecutions } from "../../src/callers/auditExecutions.js";
import { useSystem } from "./useSystem.js";

const DEADLINE_MS = 30_000;

describe("keyed calls", () => {
    const running = useSystem();

    it("run at most once, and never run when a refusal says that they did not", async () => {
        const workload = { keyedPart: 1, callsPerSecond: 60, maxAttempts: 6, timeoutMs: 5000 };
        const traffic = await running.startTraffic(51, workload);
        await traffic.untilEnded(60);
        await running.system.platform.setFaults({ loseNextAnswers: 5 });
        await traffic.untilEnded(60);
        await running.system.platform.setFaults({ loseNextWrites: 5 });
        await Promise.all(
            running.system.topology.options.zones.map(zone =>
                running.system.service(zone).setFaults({ dieAfterExecuting: 3, refuse: 3 })
            ),
        );
        await traffic.untilEnded(100);
        const router = running.system.process("router-b-1");
        await router.kill();
        await traffic.untilEnded(60);
        await router.start();
        await router.untilReady(DEADLINE_MS);
        await traffic.untilEnded(60);
        const records = await traffic.finish();
        expect(auditExecutions(records, await running.system.executions())).to.deep.equal({
            ranTwice: [],
            falseRefusals: [],
            answeredWithoutRun: [],
        });
        const whole = records.filter(record => record.finalClass === "correct").length;
        expect(whole / records.length).to.be.greaterThan(0.9);
    });
});
