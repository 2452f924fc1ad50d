import { expect } from "chai";
import { WorkGate } from "../../src/util/WorkGate.js";

describe("WorkGate", () => {
    async function hasEnded(resting: Promise<void>): Promise<boolean> {
        return Promise.race([
            resting.then(() => true),
            new Promise<boolean>(resolve => setImmediate(() => resolve(false))),
        ]);
    }

    it("rests until it is opened", async () => {
        const gate = WorkGate.create();
        const resting = gate.rest(new AbortController().signal);
        expect(await hasEnded(resting)).to.equal(false);
        gate.open();
        expect(await hasEnded(resting)).to.equal(true);
    });

    it("does not keep an opening for later", async () => {
        const gate = WorkGate.create();
        gate.open();
        expect(await hasEnded(gate.rest(new AbortController().signal))).to.equal(false);
    });

    it("ends with the signal, before and while it rests", async () => {
        const stop = new AbortController();
        const resting = WorkGate.create().rest(stop.signal);
        stop.abort();
        expect(await hasEnded(resting)).to.equal(true);
        expect(await hasEnded(WorkGate.create().rest(stop.signal))).to.equal(true);
    });
});
