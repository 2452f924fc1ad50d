import { SystemClock } from "@fescuehaven/runtime";
import { untilTrue } from "@fescuehaven/testing";
import { expect } from "chai";
import { exampleGatewaySettings } from "./support/exampleGatewaySettings.js";
import { freePort } from "./support/freePort.js";
import { GatewayRig } from "./support/GatewayRig.js";

/** Time for a call to the store, and for a call that gets no response to be given up. */
const REACTION_MS = 1500;
const { changeDeadlineMs } = exampleGatewaySettings;

describe("a gateway that has received no change of the configuration in time", () => {
    let rig: GatewayRig;

    beforeEach(async () => {
        rig = await GatewayRig.start();
        // Its watches receive no events from now on, as those of a gateway without processor time.
        rig.store.faults.silentWatches = true;
        await rig.clock.advance(3 * changeDeadlineMs);
    });

    afterEach(() => rig.close());

    it("serves a route that was added since", async () => {
        // Guards against a 404 that rests on an older version than the one that must be in effect.
        await rig.configure(2);
        await rig.clock.advance(changeDeadlineMs);
        const response = rig.send("v2");
        await rig.clock.advance(REACTION_MS);
        expect(response.refusal).to.not.include({ kind: "no-route" });
        expect(rig.gateway.activeConfiguration.current?.version).to.equal(2);
    });

    it("denies a route that the newest version does not have", async () => {
        await rig.configure(2);
        await rig.clock.advance(changeDeadlineMs);
        const response = rig.send("v3");
        await rig.clock.advance(REACTION_MS);
        expect(response.refusal?.kind).to.equal("no-route");
        expect(rig.gateway.activeConfiguration.current?.version).to.equal(2);
    });

    it("reads the store once for many denials", async () => {
        const before = rig.store.calls.read;
        for (let index = 0; index < 50; index++) {
            rig.send("v3");
            await rig.clock.advance(10);
        }
        await rig.clock.advance(REACTION_MS);
        expect(rig.store.calls.read - before).to.equal(1);
    });

    it("refuses without a denial while neither the store nor a peer tells the newest version", async () => {
        // Guards against a 404 or 401 of a gateway that cannot know whether the route or key has been added.
        rig.store.faults.outage = true;
        const unknown = rig.send("v3");
        await rig.clock.advance(REACTION_MS);
        expect(unknown.refusal?.kind).to.equal("not-run");
        const known = rig.send("v1");
        await rig.clock.advance(REACTION_MS);
        expect(known.refusal?.kind === "no-route").to.equal(false);
    });

    it("takes a newer version from another gateway within the time for changes", async () => {
        // Guards against requests that are served by a dropped route or a revoked key because one path is delayed.
        const peer = rig.addPeer("gateway-1", undefined, await freePort());
        await peer.start();
        await untilTrue(SystemClock.create(), "two connected gateways", 10_000, async () => {
            await rig.clock.advance(100);
            return rig.log.lines.filter(({ event }) => event === "peer connected").length >= 2;
        });
        await rig.configure(2);
        rig.send("v3");
        await rig.clock.advance(10);
        expect(rig.gateway.activeConfiguration.current?.version).to.equal(2);
        const namedAtMs = rig.clock.monotonicMs();
        await untilTrue(SystemClock.create(), "the newer version", 10_000, async () => {
            await rig.clock.advance(100);
            return peer.activeConfiguration.current?.version === 2;
        });
        expect(rig.clock.monotonicMs() - namedAtMs).to.be.at.most(changeDeadlineMs);
    });
});

describe("a gateway whose event loop is delayed", () => {
    /** Longer than any delay of a process that has enough processor time. */
    const DELAY_MS = 500;

    // Guards against a 404 of a gateway that has not read yet what its sockets have received.
    it("verifies a denial, and reads nothing for one otherwise", async () => {
        const rig = await GatewayRig.start();
        await rig.clock.advance(1000);
        const readsBefore = rig.store.calls.read;
        const prompt = rig.send("v3");
        await rig.clock.advance(10);
        const readsInTime = rig.store.calls.read - readsBefore;
        const monotonicMs = rig.clock.monotonicMs.bind(rig.clock);
        rig.clock.monotonicMs = () => monotonicMs() + DELAY_MS;
        const delayed = rig.send("v3");
        await rig.clock.settle();
        rig.clock.monotonicMs = monotonicMs;
        await rig.clock.advance(REACTION_MS);
        expect([prompt.refusal?.kind, readsInTime]).to.deep.equal(["no-route", 0]);
        expect([delayed.refusal?.kind, rig.store.calls.read - readsBefore]).to.deep.equal(["no-route", 1]);
        await rig.close();
    });
});
