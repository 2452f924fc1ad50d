import { expect } from "chai";
import { ConfigurationRig } from "./util/ConfigurationRig.js";

const NAMES = ["a/1", "a/2", "b/1", "b/2"];
const account = (weight: number) => ({
    apiKeySha256: "0".repeat(64),
    weight,
    maxConcurrentRequests: 1,
    maxQueuedRequests: 1,
    priority: 0,
});
const key = { kind: "client-account", name: "firm" };

describe("ConfigurationSync", () => {
    let rig: ConfigurationRig;
    const weight = (name: string) => rig.sync(name).get("client-account", "firm")?.value.weight;

    beforeEach(() => {
        rig = ConfigurationRig.create(NAMES);
    });

    afterEach(() => rig.stop());

    it("takes the listing, then each change", async () => {
        await rig.store.write(key, account(1), 0);
        rig.start(...NAMES);
        await rig.clock.advance(100);
        expect(NAMES.map(weight)).to.deep.equal([1, 1, 1, 1]);
        await rig.store.write(key, account(2), 1);
        await rig.clock.advance(100);
        expect(NAMES.map(weight)).to.deep.equal([2, 2, 2, 2]);
    });

    it("starts from peers while the platform is down", async () => {
        await rig.store.write(key, account(1), 0);
        rig.start("a/1", "b/1");
        await rig.clock.advance(100);
        rig.store.faults.outage = true;
        rig.start("b/2");
        await rig.clock.advance(1000);
        expect(weight("b/2")).to.equal(1);
        expect(rig.sync("b/2").complete).to.be.true;
    });
});
