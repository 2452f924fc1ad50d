import { expect } from "chai";
import { exampleUpstream } from "./support/exampleUpstream.js";
import { GatewayRig } from "./support/GatewayRig.js";

describe("a gateway without any response from upstreams", () => {
    it("stays in service when no other gateway reaches the upstreams either", async () => {
        const rig = await GatewayRig.start();
        const ids = Array.from({ length: 12 }, (_, index) => `u${index}`);
        ids.forEach(id => rig.fleet.add(exampleUpstream(id)));
        await rig.clock.advance(2000);
        ids.forEach(id => rig.fleet.makeUnresponsive(id, 1e9));
        for (let passedMs = 0; passedMs < 10_000; passedMs += 500) {
            await rig.clock.advance(500);
            expect([rig.gateway.isReady, rig.gateway.isPartitioned]).to.deep.equal([true, false]);
        }
        await rig.close();
    });
});
