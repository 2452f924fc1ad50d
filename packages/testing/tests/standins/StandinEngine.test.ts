import type { MemberReport } from "@fescuehaven/coordination";
import { SystemClock, SystemRandom } from "@fescuehaven/runtime";
import { expect } from "chai";
import { fetch } from "undici";
import { SeededRandom } from "../../src/fakes/SeededRandom.js";
import { engineBehaviourSchema } from "../../src/standins/EngineBehaviour.js";
import { expectedTokens } from "../../src/standins/expectedTokens.js";
import { StandinEngine } from "../../src/standins/StandinEngine.js";
import { WeightStore } from "../../src/standins/WeightStore.js";

interface StreamEvent {
    requestId: string;
    index?: number;
    text?: string;
    done?: boolean;
    tokenCount?: number;
}

describe("StandinEngine", () => {
    let engines: StandinEngine[] = [];
    let urls: string[] = [];

    async function start(behaviour: object): Promise<void> {
        const clock = SystemClock.create();
        const weights = WeightStore.create(clock, 100);
        engines = [0, 1].map(rank =>
            StandinEngine.create({
                vm: { name: `vm-${rank}`, host: "127.0.0.1", port: 0 },
                behaviour: engineBehaviourSchema.parse({ tokenMs: 1, memberCheckMs: 20, ...behaviour }),
                weights,
                clock,
                random: SeededRandom.create(7),
                identities: SystemRandom.create(),
            })
        );
        urls = await Promise.all(engines.map(engine => engine.listen()));
    }

    afterEach(async () => {
        await Promise.all(engines.map(engine => engine.close()));
    });

    async function post(url: string, body: object): Promise<{ status: number; body: unknown; }> {
        const headers = { "content-type": "application/json" };
        const response = await fetch(url, { method: "POST", headers, body: JSON.stringify(body) });
        return { status: response.status, body: await response.json() };
    }

    async function sendOrder(rank: number, fence: number, weightsGiB = 1): Promise<number> {
        const modelVersion = "m-1";
        const body = { kind: "load", fence, group: "g", modelVersion, weightsGiB, rank, memberUrls: urls };
        return (await post(`${urls[rank]}/v1/orders`, body)).status;
    }

    async function getReport(rank: number): Promise<MemberReport> {
        return (await (await fetch(`${urls[rank]}/v1/report`)).json()) as MemberReport;
    }

    async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
        while (!(await condition())) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    async function formGroup(fence: number): Promise<void> {
        await Promise.all([0, 1].map(rank => sendOrder(rank, fence)));
        await waitUntil(async () => (await getReport(0)).phase === "ready" && (await getReport(1)).phase === "ready");
        await waitUntil(async () => (await generate({ epoch: fence, maxTokens: 1 })).status === 200);
    }

    async function generate(extra: object): Promise<{ status: number; events: StreamEvent[]; broken: boolean; }> {
        const response = await fetch(`${urls[0]}/v1/generate`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({
                requestId: "r",
                attemptId: `a-${Math.floor(performance.now() * 1000)}`,
                group: "g",
                prompt: "p",
                ...extra,
            }),
        });
        let text = "";
        let broken = false;
        const decoder = new TextDecoder();
        try {
            for await (const chunk of response.body ?? []) {
                text += decoder.decode(chunk as Uint8Array, { stream: true });
            }
        }
        catch {
            broken = true;
        }
        const events = text.split("\n\n").filter(part => part.startsWith("data: ") && part.endsWith("}"))
            .map(part => JSON.parse(part.slice("data: ".length)) as StreamEvent);
        return { status: response.status, events, broken };
    }

    it("streams the expected tokens from the start and from an offset", async () => {
        await start({});
        await formGroup(3);
        const tokens = expectedTokens("m-1", "p", 20);
        for (const resumeFromToken of [0, 12]) {
            const { events } = await generate({ epoch: 3, maxTokens: 20, resumeFromToken });
            expect(events.slice(0, -1).map(event => event.text)).to.deep.equal(tokens.slice(resumeFromToken));
            expect(events.at(-1)).to.include({ done: true, tokenCount: 20 });
        }
    });

    it("refuses a generation for another epoch, and every generation with the fault refuseAll", async () => {
        await start({});
        await formGroup(3);
        expect((await generate({ epoch: 2, maxTokens: 1 })).status).to.equal(409);
        await post(`${urls[0]}/test/faults`, { refuseAll: true });
        expect((await generate({ epoch: 3, maxTokens: 1 })).status).to.equal(503);
    });

    it("refuses an old fencing token, but follows it with the fault ignoreFencing", async () => {
        await start({});
        await formGroup(3);
        expect(await sendOrder(1, 2)).to.equal(409);
        await post(`${urls[1]}/test/faults`, { ignoreFencing: true });
        expect(await sendOrder(1, 2)).to.equal(202);
        await waitUntil(async () => (await generate({ epoch: 3, maxTokens: 1 })).status === 503);
    });

    it("accepts a higher fencing token for the same weights without loading them again", async () => {
        await start({});
        await formGroup(3);
        expect(await sendOrder(0, 4)).to.equal(202);
        expect(await getReport(0)).to.include({ phase: "ready", epoch: 4 });
        expect(await sendOrder(0, 5, 200)).to.equal(202);
        expect(await getReport(0)).to.include({ phase: "loading", epoch: 5 });
    });

    it("aborts its streams when a member restarts", async () => {
        await start({ tokenMs: 10 });
        await formGroup(3);
        const stream = generate({ epoch: 3, maxTokens: 10_000 });
        const bootId = (await getReport(1)).bootId;
        await post(`${urls[1]}/test/faults`, { restart: true });
        expect((await stream).broken).to.equal(true);
        expect((await getReport(1)).bootId).to.not.equal(bootId);
        expect((await generate({ epoch: 3, maxTokens: 1 })).status).to.equal(503);
    });

    it("crashes when it gets more requests than a cold replica can carry", async () => {
        await start({ tokenMs: 10, coldCapacity: 2, warmUpMs: 60_000, restartMs: 0 });
        await formGroup(3);
        const streams = [1, 2, 3].map(() => generate({ epoch: 3, maxTokens: 10_000 }));
        expect((await Promise.all(streams)).map(stream => stream.broken)).to.deep.equal([true, true, true]);
        const counters = await (await fetch(`${urls[0]}/test/counters`)).json();
        expect(counters).to.include({ overloadFalls: 1, peakOverCapacity: 1 });
        await waitUntil(async () => (await getReport(0).catch(() => undefined))?.phase === "empty");
    });

    it("sends duplicate and crossed tokens and aborts the stream when these faults are set", async () => {
        await start({});
        await formGroup(3);
        await post(`${urls[0]}/test/faults`, { duplicateTokens: true, crossAnswers: true, breakAfterTokens: 5 });
        const { events, broken } = await generate({ epoch: 3, maxTokens: 20 });
        expect(broken).to.equal(true);
        expect(events.filter(event => event.requestId === "r")).to.have.length(10);
        expect(events.filter(event => event.requestId === "other-request")).to.have.length(5);
    });
});
