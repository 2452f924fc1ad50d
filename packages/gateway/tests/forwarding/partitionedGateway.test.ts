import { expect } from "chai";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import { responses } from "../support/responses.js";

describe("a gateway that is partitioned from the upstreams, without a relay", () => {
    it("refuses requests at once as not run, with a short retry-after delay, and sends none", async () => {
        const rig = ForwarderRig.create();
        rig.configure();
        rig.directory.set(
            exampleUpstream("head", { model: "large", group: { name: "g", epoch: 1, rank: 0, phase: "open" } }),
        );
        rig.client.serve(() => responses.stream(1, 3));
        rig.isReachable = false;
        const refused = rig.send({ id: "refused" });
        await rig.clock.advance(1);
        expect(refused.refusal).to.deep.include({ kind: "not-run", retryAfterMs: 200 });
        expect(rig.client.sent).to.deep.equal([]);
        rig.isReachable = true;
        const served = rig.send({ id: "served" });
        await rig.clock.advance(100);
        expect(served.ending).to.equal("complete");
        rig.close();
    });

    it("still rejects requests without a route or a valid key", async () => {
        const rig = ForwarderRig.create();
        rig.configure();
        rig.isReachable = false;
        const rejected = [rig.send({ apiKey: "unknown" }), rig.send({ host: "other.test" })];
        await rig.clock.advance(1);
        expect(rejected.map(({ refusal }) => refusal?.kind)).to.deep.equal(["unknown-key", "no-route"]);
        rig.close();
    });
});
