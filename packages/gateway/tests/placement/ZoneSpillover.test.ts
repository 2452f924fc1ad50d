import { expect } from "chai";
import { ZoneSpillover } from "../../src/placement/ZoneSpillover.js";

type View = Parameters<ZoneSpillover["decide"]>[0];
type ZoneView = View["zones"][number];
type Decision = ReturnType<ZoneSpillover["decide"]>;

const GROUPS = 5;
const SLOTS = 20;

/** A zone of five groups with 20 slots each, of which `held` are taken at each group. */
function zone(name: string, held: number, changes: Partial<ZoneView> = {}): ZoneView {
    const groups = Array.from({ length: GROUPS }, () => ({ slots: SLOTS, inFlight: held, firstEventMs: 90 }));
    return { zone: name, delayMs: name === "a" ? 0 : 1.4, groups, ...changes };
}

function view(nowMs: number, zones: readonly ZoneView[], changes: Partial<View> = {}): View {
    return { nowMs, isStale: false, targetMs: 250, holdMs: 1400, zones, ...changes };
}

/** Decides four times a second on the same zones until `untilMs`, and returns the last decision. */
function decideUntil(spillover: ZoneSpillover, fromMs: number, untilMs: number, zones: readonly ZoneView[]): Decision {
    let decision = spillover.decide(view(fromMs, zones));
    for (let nowMs = fromMs + 250; nowMs <= untilMs; nowMs += 250) {
        decision = spillover.decide(view(nowMs, zones));
    }
    return decision;
}

function fractionsOf({ targets }: Decision): Record<string, number> {
    return Object.fromEntries(targets.map(target => [target.zone, Math.round(target.fraction * 100) / 100]));
}

const short = zone("a", 19);
const free = [zone("b", 5), zone("c", 11)];

describe("ZoneSpillover", () => {
    it("keeps all requests while the own zone suffices, but knows where an overflow would go", () => {
        const decision = decideUntil(ZoneSpillover.create("a"), 0, 2000, [zone("a", 12), ...free]);
        expect(decision).to.include({ share: 0, reason: "own zone suffices" });
        expect(fractionsOf(decision)).to.deep.equal({ b: 0.67, c: 0.33 });
    });

    it("divides what leaves in proportion to free capacity", () => {
        const decision = decideUntil(ZoneSpillover.create("a"), 0, 2000, [short, ...free]);
        expect(decision.reason).to.equal("own zone is short");
        expect(decision.share).to.be.within(0.3, 0.8);
        expect(fractionsOf(decision)).to.deep.equal({ b: 0.67, c: 0.33 });
    });

    // Guards against requests that change zones although they are served no sooner there.
    it("keeps all requests if all zones are short", () => {
        const decision = decideUntil(ZoneSpillover.create("a"), 0, 2000, [short, zone("b", 19), zone("c", 20)]);
        expect(decision).to.deep.equal({ share: 0, targets: [], reason: "no other zone has room" });
    });

    it("keeps all requests if the other zones are as occupied", () => {
        const decision = decideUntil(ZoneSpillover.create("a"), 0, 2000, [zone("a", 16), zone("b", 16), zone("c", 16)]);
        expect(decision.share).to.equal(0);
    });

    it("sends nothing to a zone whose first events are late because of the path", () => {
        const far = zone("b", 5, { delayMs: 80 });
        expect(fractionsOf(decideUntil(ZoneSpillover.create("a"), 0, 2000, [short, far, zone("c", 11)]))).to.deep.equal(
            {
                c: 1,
            },
        );
    });

    it("counts groups whose first events are late as taken", () => {
        const slow = zone("a", 0);
        const groups = slow.groups.map(group => ({ ...group, firstEventMs: 400 }));
        const decision = decideUntil(ZoneSpillover.create("a"), 0, 2000, [{ ...slow, groups }, ...free]);
        expect(decision.share).to.be.greaterThan(0.3);
    });

    it("lets all requests leave at once if the own zone has no group", () => {
        const spillover = ZoneSpillover.create("a");
        expect(spillover.decide(view(0, free))).to.include({ share: 1, reason: "own zone has no group" });
    });

    it("ignores a zone that is cut off", () => {
        const spillover = ZoneSpillover.create("a");
        decideUntil(spillover, 0, 2000, [short, ...free]);
        expect(fractionsOf(spillover.decide(view(2250, [short, zone("c", 11)])))).to.deep.equal({ c: 1 });
    });

    // Guards against the overflow of all gateways at engines that have just come back.
    it("gives a zone that comes back its part in steps", () => {
        const spillover = ZoneSpillover.create("a");
        decideUntil(spillover, 0, 2000, [short, zone("c", 5)]);
        const parts = [4000, 5000, 6000, 7000, 8000].map(nowMs =>
            fractionsOf(decideUntil(spillover, nowMs, nowMs + 750, [short, zone("b", 5), zone("c", 5)]))["b"]
        );
        expect(parts).to.deep.equal([0.2, 0.33, 0.43, 0.5, 0.5]);
    });

    it("keeps a zone's part if one view lacks the zone", () => {
        const spillover = ZoneSpillover.create("a");
        decideUntil(spillover, 0, 2000, [short, ...free]);
        spillover.decide(view(2250, [short, zone("c", 11)]));
        expect(fractionsOf(spillover.decide(view(2500, [short, ...free])))["b"]).to.equal(0.67);
    });

    it("holds the last decision for 5 s while the view is stale, then prefers the own zone", () => {
        const spillover = ZoneSpillover.create("a");
        const { share, targets } = decideUntil(spillover, 0, 2000, [short, ...free]);
        const decideStale = (nowMs: number) => spillover.decide(view(nowMs, [short, ...free], { isStale: true }));
        expect(decideStale(7000)).to.deep.equal({ share, targets, reason: "view is stale" });
        expect(decideStale(7001)).to.deep.equal({ share: 0, targets: [], reason: "view is stale" });
    });

    // Guards against a lost hub: without its reports, the zone's groups look idle.
    it("holds the last decision while the own zone's loads are missing", () => {
        const spillover = ZoneSpillover.create("a");
        const { share } = decideUntil(spillover, 0, 2000, [short, ...free]);
        const zones = [zone("a", 0), ...free];
        expect(decideUntil(spillover, 2250, 6000, zones)).to.include({ share, reason: "view is stale" });
        expect(decideUntil(spillover, 6250, 8000, zones).share).to.equal(0);
    });

    it("sends nothing to another zone while its loads are missing", () => {
        const spillover = ZoneSpillover.create("a");
        decideUntil(spillover, 0, 2000, [short, ...free]);
        const zones = [short, zone("b", 0), zone("c", 11)];
        expect(fractionsOf(spillover.decide(view(2250, zones)))).to.deep.equal({ c: 1 });
        expect(fractionsOf(spillover.decide(view(2500, [short, ...free])))["b"]).to.equal(0.67);
    });

    // Guards against gateways that send the whole overflow on one report and take it back on the next.
    it("changes the share by no more than 1 per second", () => {
        const spillover = ZoneSpillover.create("a");
        decideUntil(spillover, 0, 2000, [zone("a", 8), ...free]);
        expect(spillover.decide(view(2100, [zone("a", 20), zone("b", 2), zone("c", 2)])).share).to.be.closeTo(
            0.1,
            1e-9,
        );
    });

    it("leaves as much as the reported demand exceeds the own zone's capacity", () => {
        const demand = (own: ZoneView, perSecond: number) => ({ ...own, demandPerSecond: perSecond });
        const zones = [demand(zone("a", 15), 90), demand(zone("b", 5), 20), demand(zone("c", 5), 20)];
        const decision = decideUntil(ZoneSpillover.create("a"), 0, 3000, zones);
        expect(decision.share).to.be.closeTo(1 - 0.75 * GROUPS * SLOTS / 1.4 / 90, 0.001);
    });

    it("takes loads alone if one zone's demand is not reported", () => {
        const zones = [zone("a", 13, { demandPerSecond: 90 }), zone("b", 5, { demandPerSecond: 20 }), zone("c", 5)];
        expect(decideUntil(ZoneSpillover.create("a"), 0, 3000, zones).share).to.equal(0);
    });
});
