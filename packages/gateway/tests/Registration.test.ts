import { ManualClock, MemoryObjectStore, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { Registration } from "../src/Registration.js";
import { SilentDecisionLog } from "./support/SilentDecisionLog.js";

const key = { kind: "gateways", name: "vm" };
/** As builds register that state no processor time. */
const earlier = { address: "10.0.0.1:7700", zone: "a", relayAddress: "10.0.0.1:7701" };

describe("Registration", () => {
    let clock: ManualClock;
    let store: MemoryObjectStore;
    let stop: AbortController;

    beforeEach(() => {
        clock = ManualClock.create();
        store = MemoryObjectStore.create(clock);
        stop = new AbortController();
    });

    afterEach(() => stop.abort());

    function register(processorCores?: number): Registration {
        const log = SilentDecisionLog.create();
        const random = SeededRandom.create(1);
        return Registration.create({ clock, random, log, store, key, ...earlier, processorCores });
    }

    // Guards against a fleet that orders its hubs by name for ever, as one registration is that of an earlier build.
    it("replaces what an earlier build has registered at the same address, and keeps its fields", async () => {
        await store.write(key, earlier, 0);
        void register(0.324).run(stop.signal);
        await clock.advance(100);
        expect(store.peek(key.kind, key.name)?.value).to.deep.equal({ ...earlier, processorCores: 0.324 });
    });

    it("writes nothing if the store has it already", async () => {
        await store.write(key, { ...earlier, processorCores: 0.324 }, 0);
        const before = store.calls.write;
        void register(0.324).run(stop.signal);
        await clock.advance(100);
        expect(store.calls.write).to.equal(before);
    });

    for (const processorCores of [undefined, "many", -1]) {
        it(`reads a registration with the processor time ${processorCores} as one that states none`, () => {
            const value = { ...earlier, processorCores };
            expect(register().read({ ...key, revision: 1, value })).to.deep.include(earlier);
            expect(register().read({ ...key, revision: 1, value })?.processorCores).to.equal(undefined);
        });
    }
});
