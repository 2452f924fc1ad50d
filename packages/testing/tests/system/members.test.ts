import { expect } from "chai";
import { CallerClient } from "../../src/callers/CallerClient.js";
import type { ChatCall } from "../../src/callers/ChatCall.js";
import { promptOf } from "../../src/callers/promptOf.js";
import { ResponseChecker } from "../../src/callers/ResponseChecker.js";
import { expectedTokens } from "../../src/standins/expectedTokens.js";
import { untilTrue } from "../../src/util/untilTrue.js";
import { describeProblems } from "./describeProblems.js";
import { systemTestOptions } from "./systemTestOptions.js";
import { useSystem } from "./useSystem.js";

const { clock } = systemTestOptions;
const DEADLINE_MS = 30_000;
const GROUP = "dive-report-a-1";

describe("loss of members", () => {
    const running = useSystem({
        topology: { engineProcesses: "vm", engineVmsPerZone: 3, engineBehaviour: { tokenMs: 10 } },
    });

    it("leaves streams complete when a member is killed, and forms the group again with a spare", async () => {
        const before = await running.system.status(GROUP);
        const client = CallerClient.create({ clock });
        const checker = ResponseChecker.create();
        const [account] = running.system.objects.accounts;
        const [entry] = running.system.entryVmsOf("zone-a");
        if (!account || !entry || !before) {
            throw new Error("The system lacks an account, an entry VM or the group.");
        }
        const engine = running.system.engine(before.members[0] ?? "");
        const streams = [1, 2, 3, 4].map(async number => {
            const call: ChatCall = {
                requestId: `member-${number}`,
                account,
                model: "dive-report",
                content: `report ${number}`,
                maxTokens: 300,
                stream: true,
                timeoutMs: DEADLINE_MS,
            };
            const { outcome } = await client.chat(entry.router.url, call);
            return checker.check(expectedTokens("dive-report-1", promptOf(call), call.maxTokens), outcome);
        });
        await untilTrue(
            clock,
            "streams at the group",
            DEADLINE_MS,
            async () => (await engine.report()).runningRequests > 0,
        );
        const killed = before.members[1] ?? "";
        await running.system.process(running.system.topology.engineProcessOf(killed)).kill();
        expect(await Promise.all(streams)).to.deep.equal(["correct", "correct", "correct", "correct"]);
        await untilTrue(clock, "group formed without the killed member", DEADLINE_MS, async () => {
            const status = await running.system.status(GROUP);
            return status?.phase === "ready" && status.epoch > before.epoch && !status.members.includes(killed);
        });
        await client.close();
    });

    it("never sends a cold replica more than its capacity when an engine restarts under load", async () => {
        const traffic = await running.startTraffic(11, { callsPerSecond: 40 });
        await traffic.untilEnded(100);
        const before = await running.system.status(GROUP);
        const head = running.system.engine(before?.members[0] ?? "");
        await head.setFaults({ restart: true });
        await untilTrue(clock, "group ready again", DEADLINE_MS, async () => {
            const status = await running.system.status(GROUP);
            return status?.phase === "ready" && status.since !== before?.since;
        });
        await traffic.untilEnded(200);
        const records = await traffic.finish();
        const counters = await Promise.all(
            running.system.engines().map(engine => engine.admin.counters().catch(() => undefined)),
        );
        expect(counters.reduce((sum, counter) => sum + (counter?.overloadFalls ?? 0), 0)).to.equal(0);
        expect(describeProblems(records)).to.deep.equal([]);
    });
});
