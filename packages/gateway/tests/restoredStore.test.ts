import { SystemClock } from "@fescuehaven/runtime";
import { untilTrue } from "@fescuehaven/testing";
import { expect } from "chai";
import { exampleUpstream } from "./support/exampleUpstream.js";
import { GatewayRig } from "./support/GatewayRig.js";

/** Upstreams are back in the store within about two seconds of its return. */
const REGISTERED_AGAIN_MS = 1500;

describe("a gateway whose store is restored from an older copy", () => {
    let rig: GatewayRig;

    beforeEach(async () => {
        rig = await GatewayRig.start();
    });

    afterEach(() => rig.close());

    function addEngines(): void {
        for (let index = 0; index < 8; index++) {
            rig.fleet.add(exampleUpstream(`vm-${index}`, { stagedModels: ["large"] }));
        }
    }

    function addPlain(id: string, zone = "a"): void {
        rig.register(exampleUpstream(id, { service: "app", domain: "", zone }));
    }

    /** Number of groups that the controller gave up. */
    function lostGroups(): number {
        return rig.log.lines.filter(({ event }) => event === "group lost").length;
    }

    for (const awayMs of [100, 3000]) {
        describe(`after ${awayMs} ms`, () => {
            /** Restores the store from a copy that lacks a change. */
            async function restoreWithout(change: () => unknown): Promise<void> {
                await rig.clock.advance(1000);
                const copy = rig.store.copy();
                await change();
                await rig.clock.advance(1000);
                await rig.restore(copy, awayMs);
            }

            async function expectAllSentTo(upstream: string): Promise<void> {
                for (let sent = 0; sent < 8; sent++) {
                    await rig.clock.advance(400);
                    rig.send("app");
                }
                await rig.clock.advance(4000);
                expect([new Set(rig.sentTo), rig.sentTo.length]).to.deep.equal([new Set([upstream]), 8]);
            }

            it("does not end a stream of a group that opened after the copy, beside a new configuration", async () => {
                addEngines();
                await rig.clock.advance(500);
                const copy = rig.store.copy();
                await rig.clock.advance(4000);
                const response = rig.send("llm");
                await rig.clock.advance(500);
                await rig.configure(2);
                await rig.restore(copy, awayMs);
                await rig.clock.advance(REGISTERED_AGAIN_MS);
                await rig.registerAgain();
                await rig.clock.advance(3000);
                expect([response.status, response.ending, lostGroups()]).to.deep.equal([200, "complete", 0]);
            });

            it("serves new requests by a group that opened after the copy", async () => {
                addEngines();
                await rig.clock.advance(500);
                const copy = rig.store.copy();
                await rig.clock.advance(4000);
                await rig.restore(copy, awayMs);
                await rig.clock.advance(1000);
                const response = rig.send("llm");
                await rig.clock.advance(REGISTERED_AGAIN_MS - 1000);
                await rig.registerAgain();
                await rig.clock.advance(4000);
                expect([response.status, response.ending]).to.deep.equal([200, "complete"]);
            });

            it("completes a request to an upstream that registered after the copy, and sends it new ones", async () => {
                const copy = rig.store.copy();
                addPlain("app-1");
                await rig.clock.advance(1000);
                const running = rig.send("app");
                await rig.clock.advance(100);
                await rig.configure(2);
                await rig.restore(copy, awayMs);
                await rig.clock.advance(REGISTERED_AGAIN_MS);
                const sentMeanwhile = rig.send("app");
                await rig.registerAgain();
                await rig.clock.advance(5000);
                expect([running.status, running.ending]).to.deep.equal([200, "complete"]);
                expect([sentMeanwhile.status, sentMeanwhile.ending]).to.deep.equal([200, "complete"]);
            });

            it("treats an upstream as gone that has not registered again after two seconds", async () => {
                const copy = rig.store.copy();
                addPlain("app-1");
                await rig.clock.advance(1000);
                await rig.restore(copy, awayMs);
                await rig.clock.advance(3000);
                const response = rig.send("app");
                await rig.clock.advance(4000);
                expect([response.refusal?.kind, rig.sentTo]).to.deep.equal(["not-run", []]);
            });

            it("sends nothing to an upstream that began to drain after the copy", async () => {
                addPlain("app-1");
                addPlain("app-2");
                await restoreWithout(() =>
                    rig.register(exampleUpstream("app-1", { service: "app", domain: "", state: "draining" }))
                );
                await expectAllSentTo("app-2");
            });

            it("sends nothing to an upstream whose registration was removed after the copy", async () => {
                addPlain("app-1");
                addPlain("app-2");
                await restoreWithout(() => rig.unregister("app-1"));
                await expectAllSentTo("app-2");
            });

            it("sends nothing to a zone that was evacuated after the copy", async () => {
                addPlain("app-1", "b");
                await restoreWithout(() => rig.evacuate("b", true));
                await rig.clock.advance(REGISTERED_AGAIN_MS);
                rig.send("app");
                await rig.evacuate("b", true);
                await rig.clock.advance(5000);
                expect(rig.sentTo).to.deep.equal([]);
            });

            it("does not evacuate a zone again whose evacuation was lifted after the copy", async () => {
                addPlain("app-1", "b");
                await rig.evacuate("b", true);
                await restoreWithout(() => rig.evacuate("b", false));
                await rig.clock.advance(REGISTERED_AGAIN_MS);
                const response = rig.send("app");
                await rig.evacuate("b", false);
                await rig.clock.advance(5000);
                expect([response.status, response.ending]).to.deep.equal([200, "complete"]);
            });

            it("keeps the newest configuration until the operator writes it again", async () => {
                addPlain("app-1");
                await restoreWithout(() => rig.configure(2));
                await rig.clock.advance(2000);
                const [older, newer] = [rig.send("v1"), rig.send("v2")];
                await rig.configure(3);
                await rig.clock.advance(5000);
                expect([older.refusal?.kind, newer.status]).to.deep.equal(["no-route", 200]);
                expect(rig.gateway.activeConfiguration.current?.version).to.equal(3);
            });

            it("gives the newest configuration to a gateway that starts before the operator writes it again", async () => {
                await restoreWithout(() => rig.configure(2));
                await rig.clock.advance(2000);
                const started = rig.addPeer("gateway-1");
                const versions: number[] = [];
                started.activeConfiguration.onChange(({ version }) => versions.push(version));
                await started.start();
                await untilTrue(SystemClock.create(), "an active configuration", 5000, () => versions.length > 0);
                await rig.clock.advance(3000);
                expect(versions).to.deep.equal([2]);
                await rig.configure(3);
                await rig.clock.advance(3000);
                expect(versions).to.deep.equal([2, 3]);
            });

            it("gives the newest configuration to a gateway that learns of its peers after it started", async () => {
                await restoreWithout(() => rig.configure(2));
                await rig.clock.advance(2000);
                const started = rig.addPeer("gateway-1", []);
                await started.start();
                await untilTrue(SystemClock.create(), "the newest configuration", 5000, async () => {
                    await rig.clock.advance(100);
                    return started.activeConfiguration.current?.version === 2;
                });
            });

            it("notices a change of the configuration whose revision existed before", async () => {
                addPlain("app-1");
                await rig.clock.advance(1000);
                const copy = rig.store.copy();
                await rig.evacuate("x", true);
                await rig.evacuate("x", false);
                await rig.clock.advance(1000);
                await rig.restore(copy, awayMs);
                // The revisions of both evacuations are assigned again before any watch is renewed.
                await rig.configure(2);
                await rig.evacuate("y", true);
                await rig.evacuate("z", true);
                await rig.clock.advance(4000);
                expect(rig.gateway.activeConfiguration.current?.version).to.equal(2);
            });

            it("writes its lease again with a term that is not lower, and gives orders again", async () => {
                const copy = rig.store.copy();
                await rig.clock.advance(2000);
                const before = rig.store.peek("fescue_controllers", "fleet")?.value as { term: number; };
                await rig.restore(copy, awayMs);
                await rig.clock.advance(3000);
                const after = rig.store.peek("fescue_controllers", "fleet")?.value as { term: number; } | undefined;
                expect(after?.term).to.be.at.least(before.term);
                addEngines();
                await rig.clock.advance(4000);
                const response = rig.send("llm");
                await rig.clock.advance(4000);
                expect([response.status, response.ending]).to.deep.equal([200, "complete"]);
            });

            it("writes its own registration again", async () => {
                await rig.clock.advance(1000);
                const copy = rig.store.copy();
                copy.objects.delete("fescue_gateways/gateway-0");
                await rig.restore(copy, awayMs);
                await rig.clock.advance(3000);
                expect(rig.store.peek("fescue_gateways", "gateway-0")?.value).to.deep.include({ zone: "a" });
            });
        });
    }
});
