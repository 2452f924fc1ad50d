import { createClient, createRouterTransport } from "@connectrpc/connect";
import { ViewService } from "@fescuehaven/protocol";
import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { ViewServiceHandler } from "../../src/peers/ViewServiceHandler.js";
import { WatchCache } from "../../src/WatchCache.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";

/** Deeper than the call stack allows a recursive function to go. */
const DEPTH = 200_000;

function deeplyNested(): unknown {
    return JSON.parse("[".repeat(DEPTH) + "]".repeat(DEPTH));
}

describe("ViewServiceHandler", () => {
    const sound = { kind: "servers", name: "sound", revision: 1, value: { zone: "a" } };
    const odd = { kind: "servers", name: "odd", revision: 2, value: deeplyNested() };

    function createView() {
        const cache = WatchCache.create(ManualClock.create(), () => true);
        const handler = ViewServiceHandler.create({
            log: SilentDecisionLog.create(),
            caches: new Map([["servers", cache]]),
            newestEra: () => 0,
            activeConfiguration: () => undefined,
        });
        const transport = createRouterTransport(router => handler.registerOn(router));
        return { cache, client: createClient(ViewService, transport) };
    }

    it("lists the other objects beside one that is nested too deeply", async () => {
        const { cache, client } = createView();
        cache.applyListing([sound, odd]);
        cache.advance(2);
        const { objects, isAvailable } = await client.listObjects({ kind: "servers" });
        expect(isAvailable).to.equal(true);
        expect(objects.map(({ name, valueJson }) => [name, valueJson])).to.deep.equal([["sound", '{"zone":"a"}'], [
            "odd",
            "",
        ]]);
    });

    // Guards against a hub that converts a large object once for each of its followers.
    it("converts an object to text once for all followers", async () => {
        let conversions = 0;
        const toJSON = () => {
            conversions += 1;
            return {};
        };
        const { cache, client } = createView();
        cache.applyListing([]);
        cache.advance(1);
        cache.applyChange({
            kind: "written",
            object: { kind: "servers", name: "large", revision: 2, value: { toJSON } },
        });
        cache.advance(2);
        for (let follower = 0; follower < 5; follower++) {
            const { changes } = await client.watchObjects({ kind: "servers", after: 1, waitMs: 0, era: 0 });
            expect(changes.map(({ object }) => object?.valueJson)).to.deep.equal(["{}"]);
        }
        expect(conversions).to.equal(1);
    });

    it("delivers the other changes beside one that is nested too deeply", async () => {
        const { cache, client } = createView();
        cache.applyListing([]);
        cache.advance(1);
        [odd, sound].forEach(object => cache.applyChange({ kind: "written", object }));
        cache.advance(2);
        const { changes } = await client.watchObjects({ kind: "servers", after: 1, waitMs: 0, era: 0 });
        expect(changes.map(({ object }) => object?.valueJson)).to.deep.equal(["", '{"zone":"a"}']);
    });
});
