import type { Peer } from "@fescuehaven/coordination";
import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { PeerNetwork } from "./support/PeerNetwork.js";
import { contentOf, errorOf } from "./support/responses.js";
import { helloPrompt, RouterFixture } from "./support/RouterFixture.js";
import { expectedText, ScriptedEngine } from "./support/ScriptedEngine.js";
import { waitFor } from "./support/waitFor.js";

const peerA: Peer = { name: "router-a1", zone: "zone-a", role: "router", url: "http://a" };
const peerB: Peer = { name: "router-b1", zone: "zone-b", role: "router", url: "http://b" };

describe("availability zones", () => {
    let clock: ManualClock;
    let engineA: ScriptedEngine;
    let engineB: ScriptedEngine;
    let network: PeerNetwork;
    let a: RouterFixture;
    let b: RouterFixture;

    beforeEach(async () => {
        clock = ManualClock.create();
        engineA = await ScriptedEngine.start();
        engineB = await ScriptedEngine.start();
        network = PeerNetwork.create();
        const forwarder = network.forwarder();
        a = RouterFixture.create({ clock, forwarder, zone: "zone-a", name: "router-a1", peers: [peerB] });
        b = RouterFixture.create({ clock, forwarder, zone: "zone-b", name: "router-b1", peers: [peerA] });
        network.add("router-a1", a);
        network.add("router-b1", b);
        for (const fixture of [a, b]) {
            fixture.addGroup("ga", { url: engineA.url, zone: "zone-a" });
            fixture.addGroup("gb", { url: engineB.url, zone: "zone-b" });
        }
        a.evidence.close("gb");
        b.evidence.close("ga");
    });

    afterEach(async () => {
        await Promise.all([a.stop(), b.stop()]);
        await Promise.all([engineA.stop(), engineB.stop()]);
    });

    function takeOutOfService(kind: "availability-zone" | "vm" | "fabric-domain", name: string, intent = "out"): void {
        for (const fixture of [a, b]) {
            fixture.configuration.put("maintenance-intent", intent, {
                target: { kind, name },
                reason: "work",
                requestedBy: "operator",
            });
        }
    }

    function returnToService(intent = "out"): void {
        [a, b].forEach(fixture => fixture.configuration.remove("maintenance-intent", intent));
    }

    it("prefers the router's own zone", async () => {
        await a.chat();
        expect([engineA.calls.length, engineB.calls.length]).to.deep.equal([1, 0]);
    });

    it("sends no new calls to a zone that was taken out of service, and completes its streams", async () => {
        engineA.scripts.push({ hold: true });
        const before = a.chat({ max_tokens: 6 });
        await waitFor("the first call", () => engineA.running === 1);
        takeOutOfService("availability-zone", "zone-a");
        const after = await a.chat();
        engineA.release();
        expect(contentOf(await before)).to.equal(expectedText(helloPrompt, 6));
        expect(contentOf(after)).to.equal(expectedText(helloPrompt, 5));
        expect([engineA.calls.length, engineB.calls.length]).to.deep.equal([1, 1]);
        expect(a.events.ofKind("request-forwarded")).to.have.length(1);
    });

    it("sends waiting calls to another zone when theirs is taken out of service", async () => {
        a.addGroup("ga", { url: engineA.url, warm: 1, cold: 1, bootIds: ["c0", "c1"] });
        engineA.scripts.push({ hold: true });
        const running = a.chat();
        await waitFor("the first call", () => engineA.running === 1);
        const waiting = a.chat();
        await clock.settle();
        takeOutOfService("availability-zone", "zone-a");
        await clock.advance(20);
        expect(contentOf(await waiting)).to.equal(expectedText(helloPrompt, 5));
        engineA.release();
        await running;
        expect([engineA.calls.length, engineB.calls.length]).to.deep.equal([1, 1]);
    });

    it("uses a zone again when the last of its intents is removed", async () => {
        takeOutOfService("availability-zone", "zone-a", "one");
        takeOutOfService("availability-zone", "zone-a", "two");
        returnToService("one");
        await a.chat();
        expect(engineA.calls).to.have.length(0);
        returnToService("two");
        await a.chat();
        expect(engineA.calls).to.have.length(1);
    });

    it("refuses a call when every zone is out of service, stating that it did not run", async () => {
        takeOutOfService("availability-zone", "zone-a", "one");
        takeOutOfService("availability-zone", "zone-b", "two");
        const pending = a.chat();
        await clock.advance(3000);
        const response = await pending;
        expect(errorOf(response)).to.include({ type: "no-upstream", ran: "no" });
        expect(response.headers["retry-after"]).to.equal("1");
    });

    const closeCases: Array<{ name: string; close: () => void; }> = [
        { name: "a VM intent", close: () => takeOutOfService("vm", "ga-1") },
        {
            name: "a fabric domain intent",
            close: () => {
                a.vms.push(vm("ga-1", "live"));
                takeOutOfService("fabric-domain", "d1");
            },
        },
        { name: "a leaving VM", close: () => a.vms.push(vm("ga-1", "leaving")) },
        { name: "a claim being released", close: () => changeClaim("releasing", 1) },
        { name: "a claim of another epoch", close: () => changeClaim("held", 2) },
    ];
    for (const { name, close } of closeCases) {
        it(`sends no new calls to a group that is closed by ${name}`, async () => {
            close();
            expect(contentOf(await a.chat())).to.equal(expectedText(helloPrompt, 5));
            expect([engineA.calls.length, engineB.calls.length]).to.deep.equal([0, 1]);
        });
    }

    function vm(name: string, state: "live" | "leaving") {
        return {
            name,
            region: "r",
            zone: "zone-a",
            fabricDomain: "d1",
            role: "engine" as const,
            address: "10.0.0.1",
            enginePort: 1,
            accelerators: 8,
            state,
        };
    }

    function changeClaim(state: "held" | "releasing", epoch: number): void {
        const ledger = structuredClone(a.configuration.get("zone-ledger", "zone-a")!.value);
        ledger.claims["ga-1"]!.state = state;
        ledger.groups["ga"]!.epoch = epoch;
        a.configuration.put("zone-ledger", "zone-a", ledger);
    }

    it("resumes a broken response in another zone at its token offset", async () => {
        engineA.scripts.push({ hold: true, breakAfter: 4 });
        const pending = a.chat({ max_tokens: 9 });
        await waitFor("the first call", () => engineA.running === 1);
        a.evidence.close("ga");
        engineA.release();
        expect(contentOf(await pending)).to.equal(expectedText(helloPrompt, 9));
        expect(engineB.calls.map(call => call.resumeFromToken)).to.deep.equal([4]);
    });

    it("never forwards a call twice", async () => {
        a.evidence.close("ga");
        b.evidence.close("gb");
        const pending = a.chat();
        await clock.advance(5000);
        expect(errorOf(await pending)).to.include({ type: "no-upstream", ran: "no" });
        expect(b.events.ofKind("request-forwarded")).to.have.length(0);
    });

    it("keeps a forwarded call's stream alive by heartbeats beyond the idle timeout", async () => {
        a.evidence.close("ga");
        engineB.scripts.push({ hold: true });
        const pending = a.chat();
        await waitFor("the call", () => engineB.running === 1);
        for (let second = 0; second < 8; second++) {
            engineB.sendHeartbeat();
            await clock.settle();
            await clock.advance(1000);
        }
        engineB.release();
        expect(contentOf(await pending)).to.equal(expectedText(helloPrompt, 5));
        expect(engineB.calls).to.have.length(1);
    });

    it("opens a new connection to a peer that became unresponsive, and resumes the call", async () => {
        a.evidence.close("ga");
        network.silent.add("router-b1");
        const pending = a.chat();
        await waitFor("the forward", () => a.events.ofKind("request-forwarded").length === 1);
        await clock.advance(3400);
        network.silent.clear();
        await clock.advance(1500);
        expect(contentOf(await pending)).to.equal(expectedText(helloPrompt, 5));
        expect(network.abandoned).to.deep.equal(["router-b1"]);
    });

    it("cancels a forwarded call in the other zone when its caller's deadline passes", async () => {
        a.evidence.close("ga");
        engineB.scripts.push({ hold: true });
        const pending = a.chat({}, { "x-timeout-ms": "500" });
        await waitFor("the call", () => engineB.running === 1);
        await clock.advance(500);
        expect(errorOf(await pending)).to.include({ type: "deadline", ran: "unknown" });
        await waitFor("the cancel", () => engineB.cancelled.length === 1);
    });

    it("serves a plain service call in another zone when its own is out of service", async () => {
        takeOutOfService("availability-zone", "zone-a");
        for (const fixture of [a, b]) {
            fixture.configuration.put("service", "dispatch", {
                endpoints: ["zone-a", "zone-b"].map(zone => ({
                    name: `end-${zone}`,
                    zone,
                    url: `http://${zone}.invalid`,
                    maxConcurrentRequests: 4,
                    coldConcurrentRequests: 4,
                })),
            });
        }
        const response = await a.callService("quote");
        expect(response.statusCode).to.equal(200);
        expect(a.service.executions).to.have.length(0);
        expect(b.service.executions).to.have.length(1);
    });

    describe("forwarded to a router whose share of a limit is 0", () => {
        let withoutShare: RouterFixture;

        beforeEach(() => {
            const settings = { plannedRouters: 2 };
            withoutShare = RouterFixture.create({ clock, zone: "zone-b", name: "router-b1", settings });
            network.add("router-b1", withoutShare);
            takeOutOfService("availability-zone", "zone-a");
        });

        afterEach(() => withoutShare.stop());

        it("refuses a service call at once as not run", async () => {
            for (const fixture of [a, withoutShare]) {
                fixture.configuration.put("service", "dispatch", {
                    endpoints: [{
                        name: "end-b",
                        zone: "zone-b",
                        url: "http://b.invalid",
                        maxConcurrentRequests: 1,
                        coldConcurrentRequests: 1,
                    }],
                });
            }
            const pending = a.callService("quote");
            await clock.advance(2500);
            expect(errorOf(await pending)).to.include({ type: "no-upstream", ran: "no" });
            expect(withoutShare.service.executions).to.have.length(0);
        });

        it("refuses a generation at once as not run", async () => {
            withoutShare.addGroup("gb", { url: engineB.url, zone: "zone-b", warm: 1, cold: 1 });
            const pending = a.chat();
            await clock.advance(2500);
            expect(errorOf(await pending)).to.include({ type: "no-upstream", ran: "no" });
            expect(engineB.calls).to.have.length(0);
        });
    });

    it("forwards a call to the router of its own zone that has a free slot", async () => {
        const settings = { plannedRouters: 2 };
        const peer: Peer = { ...peerA, name: "router-a2" };
        const forwarder = network.forwarder();
        const full = RouterFixture.create({ clock, name: "router-a3", settings, forwarder, peers: [peer] });
        const free = RouterFixture.create({ clock, name: "router-a2", settings });
        network.add("router-a2", free);
        [full, free].forEach(router => router.addGroup("ga", { url: engineA.url, warm: 2, cold: 2 }));
        engineA.scripts.push({ hold: true }, { hold: true });
        const calls = [full.chat(), full.chat(), full.chat()];
        await waitFor("the first call", () => engineA.running === 1);
        await clock.advance(200);
        await waitFor("the second call", () => engineA.running === 2);
        await clock.advance(300);
        expect(engineA.maxRunning).to.equal(2);
        engineA.release();
        await clock.settle();
        await waitFor("the last call", () => engineA.calls.length === 3);
        const responses = await Promise.all(calls);
        expect(responses.map(contentOf)).to.deep.equal(responses.map(() => expectedText(helloPrompt, 5)));
        expect(free.events.ofKind("request-dispatched").length).to.be.at.least(1);
        await Promise.all([full.stop(), free.stop()]);
    });

    it("never sends a cold group more calls from partitioned routers than it can serve", async () => {
        const settings = { plannedRouters: 2 };
        const others = ["router-a2", "router-a3"].map(name => RouterFixture.create({ clock, name, settings }));
        others.forEach(router => router.addGroup("ga", { url: engineA.url, warm: 32, cold: 4 }));
        engineA.scripts.push(...Array.from({ length: 40 }, () => ({ hold: true })));
        const calls = others.flatMap(router => Array.from({ length: 20 }, () => router.chat()));
        await waitFor("the first calls", () => engineA.running === 4);
        await clock.advance(1000);
        let isFinished = false;
        const pending = Promise.all(calls).then(responses => {
            isFinished = true;
            return responses;
        });
        while (!isFinished) {
            expect(engineA.running).to.be.at.most(32);
            engineA.release();
            await clock.settle();
        }
        expect((await pending).every(response => contentOf(response) === expectedText(helloPrompt, 5))).to.equal(true);
        expect(engineA.maxRunning).to.be.at.most(6);
        await Promise.all(others.map(router => router.stop()));
    });
});
