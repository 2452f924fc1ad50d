import { SystemClock, SystemRandom } from "@fescuehaven/runtime";
import { expect } from "chai";
import { createHash } from "node:crypto";
import { fetch } from "undici";
import { serviceSettingsSchema } from "../../src/standins/ServiceSettings.js";
import { StandinService } from "../../src/standins/StandinService.js";

describe("StandinService", () => {
    let service: StandinService;
    let url: string;

    beforeEach(async () => {
        service = StandinService.create({
            settings: serviceSettingsSchema.parse({ listen: { host: "127.0.0.1", port: 0 } }),
            clock: SystemClock.create(),
            random: SystemRandom.create(),
        });
        url = await service.listen();
    });

    afterEach(async () => service.close());

    async function call(requestId: string, key: string) {
        return fetch(`${url}/bookings`, {
            method: "POST",
            headers: { "request-id": requestId, "idempotency-key": key, "content-type": "text/plain" },
            body: "one hull",
            signal: AbortSignal.timeout(500),
        });
    }

    async function setFaults(faults: object): Promise<void> {
        await fetch(`${url}/test/faults`, { method: "POST", body: JSON.stringify(faults) });
    }

    it("responds with the hash of the body and counts executions by key and request id", async () => {
        const bodySha256 = createHash("sha256").update("one hull").digest("hex");
        expect(await (await call("r-1", "k-1")).json()).to.include({ bodySha256, count: 1 });
        expect(await (await call("r-2", "k-1")).json()).to.include({ bodySha256, count: 2 });
        expect(await (await fetch(`${url}/test/executions`)).json()).to.deep.equal({
            total: 2,
            refused: 0,
            byKey: { "k-1": 2 },
            byRequestId: { "r-1": 1, "r-2": 1 },
        });
    });

    for (
        const { faults, failure, executions } of [
            { faults: { dieAfterExecuting: 1 }, failure: "TypeError", executions: 1 },
            { faults: { hangAfterExecuting: 1 }, failure: "TimeoutError", executions: 1 },
            { faults: { silent: true }, failure: "TimeoutError", executions: 0 },
        ]
    ) {
        it(`fails a call with the fault ${Object.keys(faults).join()}`, async () => {
            await setFaults(faults);
            const outcome = await call("r-1", "k-1").catch((error: unknown) => (error as Error).name);
            expect(outcome).to.equal(failure);
            expect(await (await fetch(`${url}/test/executions`)).json()).to.include({ total: executions });
        });
    }

    it("marks a refusal as not executed", async () => {
        await setFaults({ refuse: 1 });
        const response = await call("r-1", "k-1");
        expect(response.status).to.equal(503);
        expect(response.headers.get("did-not-run")).to.equal("true");
        expect(await (await fetch(`${url}/test/executions`)).json()).to.include({ total: 0, refused: 1 });
    });
});
