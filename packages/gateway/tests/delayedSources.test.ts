import { SystemClock } from "@fescuehaven/runtime";
import { untilTrue } from "@fescuehaven/testing";
import { expect } from "chai";
import type { Gateway } from "../src/Gateway.js";
import { exampleGatewaySettings } from "./support/exampleGatewaySettings.js";
import { freePort } from "./support/freePort.js";
import { GatewayRig } from "./support/GatewayRig.js";

const { changeDeadlineMs } = exampleGatewaySettings;
/** Interval between two states of a gateway, and time for a call to the store. */
const STEP_MS = 100;
const REACTION_MS = 1500;

/** Internals of a gateway that a test replaces to delay what it passes on. */
interface Internals {
    caches: Map<string, { watch: (...args: unknown[]) => Promise<{ kind: string; }>; }>;
    assistedStore: { followedKinds: ReadonlySet<string>; };
    exchange: { stateFor(observer: string): { configurationAgeMs?: number; }; };
}

describe("a gateway whose source passes changes on too late", () => {
    let rig: GatewayRig;
    let follower: Gateway;
    /** Whether the source is of a build that does not state the age of its configuration. */
    let isSourceEarlier: boolean;

    beforeEach(async () => {
        rig = await GatewayRig.start();
        isSourceEarlier = false;
        const source = rig.gateway as unknown as Internals;
        const stateFor = source.exchange.stateFor.bind(source.exchange);
        source.exchange.stateFor = observer => {
            const { configurationAgeMs, ...state } = stateFor(observer);
            return isSourceEarlier || configurationAgeMs === undefined ? state : { ...state, configurationAgeMs };
        };
        // It does not tell followers in time that its view is too old.
        const cache = source.caches.get("config")!;
        const watch = cache.watch.bind(cache);
        cache.watch = async (...args) => {
            const outcome = await watch(...args);
            return outcome.kind === "unavailable" ? new Promise(() => undefined) : outcome;
        };
        follower = rig.addPeer("gateway-1", undefined, await freePort());
        await follower.start();
        await until(
            "a call at the source",
            () => (follower as unknown as Internals).assistedStore.followedKinds.has("config"),
        );
        rig.send("v1", {}, follower);
        // The source's own call to the store gets no event from now on.
        rig.store.faults.silentWatches = true;
        await advance(changeDeadlineMs);
    });

    afterEach(() => rig.close());

    async function until(what: string, condition: () => boolean): Promise<void> {
        await untilTrue(SystemClock.create(), what, 10_000, async () => {
            await rig.clock.advance(STEP_MS);
            return condition();
        });
    }

    /** Advances the time in steps in which gateways receive each other's states. */
    async function advance(durationMs: number): Promise<void> {
        for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
            await rig.clock.advance(STEP_MS);
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    }

    async function sendToFollower(prefix: `v${number}`): Promise<string | undefined> {
        const response = rig.send(prefix, {}, follower);
        await advance(REACTION_MS);
        return response.refusal?.kind;
    }

    // Guards against a 404 by an older version while the call at the source is in progress.
    it("serves a route that was added", async () => {
        await rig.configure(2);
        await advance(changeDeadlineMs);
        expect(await sendToFollower("v2")).to.not.equal("no-route");
    });

    // Guards against gateways that confirm each other's configuration, and take the time on the way for none.
    it("serves a route that was added, whatever other gateways say that read through the same source", async () => {
        const other = rig.addPeer("gateway-2", undefined, await freePort());
        const { exchange } = other as unknown as Internals;
        const stateFor = exchange.stateFor.bind(exchange);
        exchange.stateFor = observer => ({ ...stateFor(observer), configurationAgeMs: 0 });
        await other.start();
        await advance(changeDeadlineMs);
        await rig.configure(2);
        await advance(changeDeadlineMs);
        expect(await sendToFollower("v2")).to.not.equal("no-route");
    });

    // Guards against requests that an older version allows.
    it("ends to serve a route that was dropped, without a denial that causes doubt", async () => {
        await rig.configure(2);
        await advance(changeDeadlineMs);
        expect(follower.activeConfiguration.current?.version).to.equal(2);
        expect(await sendToFollower("v1")).to.equal("no-route");
    });

    it("reads the store no more than once in half of the time for changes", async () => {
        const before = rig.store.calls.read;
        await advance(4 * changeDeadlineMs);
        expect(rig.store.calls.read - before).to.be.within(1, 8);
    });

    // Guards against a fleet in which each gateway reads the store during a roll, as earlier builds state no age.
    it("reads nothing for a source of an earlier build", async () => {
        isSourceEarlier = true;
        await advance(5 * STEP_MS);
        const before = rig.store.calls.read;
        await advance(changeDeadlineMs);
        expect(rig.store.calls.read).to.equal(before);
    });
});
