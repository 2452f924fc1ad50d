import { expect } from "chai";
import { WakeSignal } from "../../src/util/WakeSignal.js";

describe("WakeSignal", () => {
    async function hasEnded(waiting: Promise<void>): Promise<boolean> {
        return Promise.race([
            waiting.then(() => true),
            new Promise<boolean>(resolve => setImmediate(() => resolve(false))),
        ]);
    }

    it("waits until it is notified", async () => {
        const wakeSignal = WakeSignal.create();
        const waiting = wakeSignal.wait(new AbortController().signal);
        expect(await hasEnded(waiting)).to.equal(false);
        wakeSignal.notify();
        expect(await hasEnded(waiting)).to.equal(true);
    });

    it("does not keep a notification for a later wait", async () => {
        const wakeSignal = WakeSignal.create();
        wakeSignal.notify();
        expect(await hasEnded(wakeSignal.wait(new AbortController().signal))).to.equal(false);
    });

    it("stops waiting when the abort signal aborts, before or during the wait", async () => {
        const stop = new AbortController();
        const waiting = WakeSignal.create().wait(stop.signal);
        stop.abort();
        expect(await hasEnded(waiting)).to.equal(true);
        expect(await hasEnded(WakeSignal.create().wait(stop.signal))).to.equal(true);
    });
});
