import { expect } from "chai";
import { exampleEngine } from "../support/exampleEngine.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import { responses } from "../support/responses.js";

const MANY = Array.from({ length: 13 }, (_, index) => `gateway-${index}`);
const DELAYS = [{ fromZone: "a", toZone: "b", delayMs: 1.4 }, { fromZone: "c", toZone: "a", delayMs: 1.4 }];

function groupIn(zone: string, epoch: number) {
    const group = { name: `g${epoch}`, epoch, rank: 0, phase: "open" as const };
    return exampleUpstream(`${zone}${epoch}`, { zone, model: "large", group });
}

describe("requests of a zone in a large fleet", () => {
    let rig: ForwarderRig;

    function startWith(gateways: readonly string[], delays?: typeof DELAYS): void {
        rig = ForwarderRig.create({ gateways });
        rig.configure({}, 1, 0, delays);
        rig.client.serve(() => responses.stream(1, 3));
        ["a", "b", "c"].forEach((zone, index) =>
            [1, 2, 3, 4].forEach(number => rig.directory.set(groupIn(zone, index * 10 + number)))
        );
    }

    const start = () => startWith(MANY, DELAYS);

    /** Sets the requests in flight at each of a zone's groups, as a peer reports them. */
    function load(loads: Record<string, number>): void {
        rig.loads.setPeerLoads(
            "peer",
            [...rig.directory.all()].map(({ zone, group }) =>
                [String(group?.epoch), { inFlight: loads[zone] ?? 0, pendingPrefillTokens: 0, silentMs: 0 }] as const
            ),
        );
    }

    /** Sends requests a quarter of a second apart and returns the zones to which they went. */
    async function sendAll(count: number, loads: Record<string, number> = {}): Promise<string[]> {
        const before = rig.client.sent.length;
        for (let index = 0; index < count; index++) {
            load(loads);
            rig.send({ id: `q${index}` });
            await rig.clock.advance(250);
        }
        return rig.client.sent.slice(before).map(({ upstream }) => upstream.charAt(0));
    }

    const linesOf = (event: string) => rig.log.lines.filter(line => line.event === event).map(({ fields }) => fields);
    const otherZones = (zones: string[]) => zones.filter(zone => zone !== "a");

    afterEach(() => rig.close());

    it("stay there while it suffices", async () => {
        start();
        expect(otherZones(await sendAll(40, { a: 11, b: 0, c: 0 }))).to.deep.equal([]);
        expect(linesOf("request admitted").some(fields => "leavesZone" in fields)).to.equal(false);
    });

    it("leave by a share if it is short, with the zone and the reason in the log", async () => {
        start();
        const zones = await sendAll(60, { a: 16, b: 4, c: 4 });
        expect(otherZones(zones).length).to.be.within(20, 50);
        expect(zones).to.include("b").and.to.include("c");
        const [left] = linesOf("request admitted").filter(fields => "leavesZone" in fields);
        expect(left?.["leavesZone"]).to.have.property("reason", "own zone is short");
        const changes = linesOf("share of requests that leave the zone changed");
        expect(changes.length).to.be.within(1, 4);
        expect(changes.at(-1)).to.include({ service: "llm", model: "large", reason: "own zone is short" });
    });

    it("leave it if none of its groups can take them", async () => {
        start();
        const zones = await sendAll(20, { a: exampleEngine.slots, b: 4, c: 4 });
        expect(zones).not.to.include("a");
    });

    it("do not go to an evacuated zone", async () => {
        start();
        rig.evacuated.add("b");
        expect(new Set(await sendAll(40, { a: 17, b: 0, c: 4 }))).to.deep.equal(new Set(["a", "c"]));
    });

    it("are sent to any zone when they are sent again", async () => {
        start();
        rig.client.serve(upstream =>
            upstream.zone === "a" ? { kind: "not-run", reason: "overloaded" } : responses.stream(1, 3)
        );
        for (let index = 0; index < 10; index++) {
            await sendAll(1, { a: 3, b: 0, c: 0 });
            // Until no group of the own zone is avoided.
            await rig.clock.advance(1000);
        }
        const zones = rig.client.sent.map(({ upstream }) => upstream.charAt(0));
        expect(zones[0]).to.equal("a");
        expect(otherZones(zones).length).to.be.greaterThan(3);
    });

    it("do not go to a zone whose heads accept no connection", async () => {
        start();
        rig.client.serve(upstream =>
            upstream.zone === "b" ? { kind: "not-run", reason: "not-connected" } : responses.stream(1, 3)
        );
        await sendAll(20, { a: 16, b: 4, c: 4 });
        expect((await sendAll(20, { a: 16, b: 4, c: 4 })).filter(zone => zone === "b").length).to.be.at.most(2);
    });

    it("stay there after the view was stale for 5 s", async () => {
        start();
        await sendAll(20, { a: 15, b: 4, c: 4 });
        rig.viewAgeMs = 4000;
        expect(otherZones(await sendAll(16, { a: 15, b: 4, c: 4 })).length).to.be.greaterThan(3);
        await sendAll(4, { a: 15, b: 4, c: 4 });
        expect(otherZones(await sendAll(20, { a: 15, b: 4, c: 4 }))).to.deep.equal([]);
    });

    // Guards against new behaviour in deployments that did not ask for it.
    for (
        const [title, gateways, delays] of [
            ["of 12 gateways", MANY.slice(1), DELAYS],
            ["without configured delays", MANY, undefined],
        ] as const
    ) {
        it(`make no decision in a fleet ${title}`, async () => {
            startWith(gateways, delays);
            await sendAll(20, { a: 16, b: 4, c: 4 });
            expect(linesOf("share of requests that leave the zone changed")).to.deep.equal([]);
            expect(linesOf("request admitted").some(fields => "leavesZone" in fields)).to.equal(false);
        });
    }

    it("are decided without delays that cannot be used, which are logged once", async () => {
        startWith(MANY, [...DELAYS, { fromZone: "a", toZone: "x", delayMs: 1 }, {
            fromZone: "b",
            toZone: "a",
            delayMs: -1,
        }]);
        await sendAll(30);
        expect(linesOf("delays between zones ignored")).to.deep.equal([{
            ignored: 2,
            entries: [
                { fromZone: "a", toZone: "x", delayMs: 1, reason: "unknown zone" },
                { fromZone: "b", toZone: "a", delayMs: -1, reason: "invalid delay" },
            ],
        }]);
    });

    describe("of a plain service", () => {
        function startPlain(gateways: readonly string[]): void {
            startWith(gateways, DELAYS);
            rig.configure({ kind: "repeatable", targets: [{ service: "app", weight: 1 }] }, 2, 0, DELAYS);
            ["a1", "a2", "b1", "c1"].forEach(id =>
                rig.directory.set(exampleUpstream(id, { service: "app", zone: id.charAt(0) }))
            );
            rig.client.serve(upstream =>
                upstream.zone === "a" ? { kind: "not-run", reason: "overloaded" } : responses.complete(200, "ok")
            );
        }

        it("leave it by a share while its upstreams reject them, and all return afterwards", async () => {
            startPlain(MANY);
            await sendAll(40);
            const reasons = linesOf("request admitted").map(fields => fields["leavesZone"]).filter(Boolean);
            expect(reasons.length).to.be.within(10, 39);
            rig.client.serve(() => responses.complete(200, "ok"));
            await sendAll(60);
            const zones = await sendAll(20);
            expect(otherZones(zones)).to.deep.equal([]);
            // Guards against gateways that all choose the zone's first upstream.
            expect(new Set(rig.client.sent.slice(-20).map(({ upstream }) => upstream)).size).to.equal(2);
        });

        it("make no decision in a small fleet", async () => {
            startPlain(MANY.slice(1));
            await sendAll(20);
            expect(linesOf("request admitted").some(fields => "leavesZone" in fields)).to.equal(false);
        });
    });
});
