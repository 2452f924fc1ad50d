import { SystemClock } from "@fescuehaven/runtime";
import { expect } from "chai";
import { fetch } from "undici";
import { platformSettingsSchema } from "../../src/standins/PlatformSettings.js";
import { StandinPlatform } from "../../src/standins/StandinPlatform.js";

const VM = {
    name: "vm-1",
    region: "koper",
    zone: "a",
    fabricDomain: "a-1",
    role: "engine",
    address: "127.0.0.1",
    enginePort: 1,
    accelerators: 8,
    state: "live",
};

describe("StandinPlatform", () => {
    let platform: StandinPlatform;
    let url: string;

    async function start(extra: object): Promise<void> {
        const settings = platformSettingsSchema.parse({ listen: { host: "127.0.0.1", port: 0 }, ...extra });
        platform = StandinPlatform.create({ settings, clock: SystemClock.create() });
        url = await platform.listen();
    }

    async function put(name: string, revision: number, value: unknown): Promise<{ status: number; body: unknown; }> {
        const response = await fetch(`${url}/v1/objects/thing/${name}`, {
            method: "PUT",
            headers: { "if-match": String(revision), "content-type": "application/json" },
            body: JSON.stringify({ value }),
        });
        return { status: response.status, body: await response.json() };
    }

    async function setFaults(faults: object): Promise<number> {
        const headers = { "content-type": "application/json" };
        const response = await fetch(`${url}/test/faults`, { method: "POST", headers, body: JSON.stringify(faults) });
        return response.status;
    }

    afterEach(async () => platform.close());

    it("comes back from a copy in the next era", async () => {
        await start({});
        expect((await fetch(`${url}/test/restore`, { method: "POST" })).status).to.equal(409);
        await put("x", 0, 1);
        expect((await fetch(`${url}/test/copy`, { method: "POST" })).status).to.equal(200);
        await put("x", 1, 2);
        expect((await fetch(`${url}/test/restore`, { method: "POST" })).status).to.equal(200);
        const read = await fetch(`${url}/v1/objects/thing/x`);
        expect([read.headers.get("store-era"), await read.json()]).to.deep.equal([
            "1",
            { kind: "thing", name: "x", revision: 1, value: 1 },
        ]);
        expect((await put("x", 2, 3)).status).to.equal(409);
    });

    it("updates conditionally, and returns later changes to watches", async () => {
        await start({});
        expect(await put("x", 0, { n: 1 })).to.deep.equal({ status: 200, body: { revision: 1 } });
        expect(await put("x", 0, { n: 2 })).to.deep.equal({ status: 409, body: { current: 1 } });
        const waiting = fetch(`${url}/v1/watch?kinds=thing&after=1&waitMs=5000`);
        expect((await put("x", 1, { n: 2 })).status).to.equal(200);
        const object = { kind: "thing", name: "x", revision: 2, value: { n: 2 } };
        expect(await (await waiting).json()).to.deep.equal({ changes: [{ kind: "written", object }], revision: 2 });
        expect(await (await fetch(`${url}/v1/objects?kinds=thing`)).json())
            .to.deep.equal({ objects: [object], revision: 2 });
        const removed = await fetch(`${url}/v1/objects/thing/x`, { method: "DELETE", headers: { "if-match": "2" } });
        expect(removed.status).to.equal(200);
        expect((await fetch(`${url}/v1/objects/thing/x`)).status).to.equal(404);
    });

    it("refuses values over a megabyte and calls over the rate limit", async () => {
        await start({ writesPerSecond: 2 });
        expect((await put("x", 0, "a".repeat(1_000_001))).status).to.equal(413);
        const statuses = [await put("x", 0, 1), await put("y", 0, 1), await put("z", 0, 1)].map(item => item.status);
        expect(statuses).to.include(429);
    });

    it("closes the connection of a write whose response is lost, with and without effect", async () => {
        await start({});
        for (
            const { switches, after } of [
                { switches: { loseNextWrites: 1 }, after: 404 },
                { switches: { loseNextAnswers: 1 }, after: 200 },
            ]
        ) {
            await setFaults(switches);
            const failure = await put("x", 0, 1).catch((error: unknown) => error);
            expect(failure).to.be.instanceOf(TypeError);
            expect((await fetch(`${url}/v1/objects/thing/x`)).status).to.equal(after);
        }
    });

    it("sends no response to blocked addresses, including those with a waiting call", async () => {
        await start({});
        const early = fetch(`${url}/v1/watch?kinds=thing&after=0&waitMs=100`, { signal: AbortSignal.timeout(600) });
        const earlyFailure = early.catch((error: unknown) => (error as Error).name);
        await setFaults({ blockedAddresses: ["127.0.0.1"] });
        const late = await fetch(`${url}/v1/vms`, { signal: AbortSignal.timeout(300) })
            .catch((error: unknown) => (error as Error).name);
        expect(late).to.equal("TimeoutError");
        expect(await earlyFailure).to.equal("TimeoutError");
        await setFaults({ blockedAddresses: [] });
        expect((await fetch(`${url}/v1/vms`)).status).to.equal(200);
    });

    it("sends no response to watches, including waiting ones, with the fault silentWatches", async () => {
        await start({});
        const waiting = fetch(`${url}/v1/watch?kinds=thing&after=0&waitMs=5000`, { signal: AbortSignal.timeout(500) })
            .catch((error: unknown) => (error as Error).name);
        await setFaults({ silentWatches: true });
        expect((await put("x", 0, 1)).status).to.equal(200);
        expect(await waiting).to.equal("TimeoutError");
    });

    it("refuses every call during an outage, and rejects unknown faults", async () => {
        await start({});
        expect(await setFaults({ outage: true })).to.equal(200);
        expect((await put("x", 0, 1)).status).to.equal(503);
        expect(await setFaults({ outages: true })).to.equal(400);
    });

    it("shows changes of the VM list after a lag", async () => {
        await start({ vmListLagMs: 200 });
        await setFaults({ vms: [VM] });
        expect(await (await fetch(`${url}/v1/vms`)).json()).to.deep.equal({ vms: [] });
        let listed: unknown;
        while ((listed as { vms: unknown[]; } | undefined)?.vms.length !== 1) {
            listed = await (await fetch(`${url}/v1/vms`)).json();
        }
        expect(listed).to.deep.equal({ vms: [VM] });
    });
});
