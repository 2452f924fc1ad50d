import { expect } from "chai";
import { WakeSignal } from "../../src/util/WakeSignal.js";

describe("WakeSignal", () => {
    async function hasEnded(resting: Promise<void>): Promise<boolean> {
        return Promise.race([
            resting.then(() => true),
            new Promise<boolean>(resolve => setImmediate(() => resolve(false))),
        ]);
    }

    it("rests until it is opened", async () => {
        const wakeSignal = WakeSignal.create();
        const resting = wakeSignal.wait(new AbortController().signal);
        expect(await hasEnded(resting)).to.equal(false);
        wakeSignal.notify();
        expect(await hasEnded(resting)).to.equal(true);
    });

    it("does not keep an opening for later", async () => {
        const wakeSignal = WakeSignal.create();
        wakeSignal.notify();
        expect(await hasEnded(wakeSignal.wait(new AbortController().signal))).to.equal(false);
    });

    it("ends with the signal, before and while it rests", async () => {
        const stop = new AbortController();
        const resting = WakeSignal.create().wait(stop.signal);
        stop.abort();
        expect(await hasEnded(resting)).to.equal(true);
        expect(await hasEnded(WakeSignal.create().wait(stop.signal))).to.equal(true);
    });
});
