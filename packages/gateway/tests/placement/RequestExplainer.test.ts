import { expect } from "chai";
import type { Upstream } from "../../src/model/Upstream.js";
import { exampleEngine } from "../support/exampleEngine.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import { responses } from "../support/responses.js";

const MANY = Array.from({ length: 13 }, (_, index) => `gateway-${index}`);
const DELAYS = [{ fromZone: "a", toZone: "b", delayMs: 1.4 }];
const question = { host: "h.test", target: "/x", model: "large", promptTokens: 700 };

function head(id: string, epoch: number, changes: Partial<Upstream> = {}): Upstream {
    const group = { name: `g${epoch}`, epoch, rank: 0, phase: "open" as const };
    return exampleUpstream(id, { zone: id.charAt(0), model: "large", group, ...changes });
}

describe("explaining where a request would go", () => {
    let rig: ForwarderRig;

    beforeEach(() => {
        rig = ForwarderRig.create({ gateways: MANY });
        rig.configure({}, 1, 1, DELAYS);
        rig.client.serve(() => responses.stream(1, 3));
    });

    afterEach(() => rig.close());

    function explain() {
        const explanation = rig.explainer.explain(question);
        if (explanation.kind !== "explained") {
            throw new Error(explanation.kind);
        }
        return explanation.services[0]!;
    }

    it("names what speaks against each candidate", () => {
        rig.directory.set(head("a1", 1));
        rig.directory.set(head("a2", 2, { state: "draining" }));
        rig.directory.set(head("a3", 3, { group: { name: "g3", epoch: 3, rank: 0, phase: "joining" } }));
        rig.directory.set(head("a4", 4));
        rig.directory.set(head("a5", 5));
        rig.directory.set(head("a6", 6, { coldUntilMs: 5000 }));
        rig.directory.set(head("b7", 7));
        rig.evacuated.add("b");
        rig.groups.markLost(4);
        rig.loads.setPeerLoads("peer", [["5", {
            inFlight: exampleEngine.slots,
            pendingPrefillTokens: 0,
            silentMs: 0,
        }]]);
        const against = Object.fromEntries(
            explain().candidates.map(candidate => [candidate.upstream, candidate.against]),
        );
        expect(against["a6"]).to.match(/limit allows/);
        expect(against).to.include({
            a1: undefined,
            a2: "the upstream is draining",
            a3: "the group is joining",
            a4: "the group was found lost",
            a5: "no free slot",
            b7: "the zone is evacuated",
        });
    });

    it("states the chances by the last decision, with its age", async () => {
        ["a1", "a2", "b3", "b4"].forEach((id, index) => rig.directory.set(head(id, index + 1)));
        const setLoads = () =>
            rig.loads.setPeerLoads(
                "peer",
                [1, 2].map(epoch => [String(epoch), { inFlight: 16, pendingPrefillTokens: 0, silentMs: 0 }] as const),
            );
        for (let index = 0; index < 8; index++) {
            setLoads();
            rig.send({ id: `q${index}` });
            await rig.clock.advance(250);
        }
        setLoads();
        const { spillover, candidates } = explain();
        const leaving = candidates.filter(({ zone }) => zone === "b").reduce((sum, { chance }) => sum + chance, 0);
        expect(spillover).to.include({ reason: "own zone is short", ageMs: 250 });
        expect(leaving).to.be.closeTo(spillover!.share, 0.15);
        expect(candidates[0]).to.have.property("predictedMs").that.is.greaterThan(50);
    });

    // Guards against questions that change where later requests go.
    it("sends, reserves and decides nothing", async () => {
        ["a1", "b2"].forEach((id, index) => rig.directory.set(head(id, index + 1)));
        const lines = rig.log.lines.length;
        explain();
        await rig.clock.advance(1000);
        expect([rig.client.sent.length, rig.loads.targetLoads(() => true).length, rig.spillover.poolCount]).to.deep
            .equal(
                [0, 0, 0],
            );
        expect(rig.log.lines.length).to.equal(lines);
    });

    it("explains plain services", () => {
        rig.configure({ kind: "repeatable", targets: [{ service: "app", weight: 1 }] }, 2, 0, DELAYS);
        ["a1", "b2"].forEach(id => rig.directory.set(exampleUpstream(id, { service: "app", zone: id.charAt(0) })));
        expect(explain().candidates.map(({ upstream, chance, against }) => [upstream, chance, against])).to.deep.equal([
            ["a1", 1, undefined],
            ["b2", 0, "other zones come after the own one"],
        ]);
    });

    it("says that no route matches, and answers five questions a second", () => {
        expect(rig.explainer.explain({ ...question, host: "other" }).kind).to.equal("no-route");
        const kinds = Array.from({ length: 5 }, () => rig.explainer.explain(question).kind);
        expect(kinds).to.deep.equal([...Array<string>(4).fill("explained"), "too-many-questions"]);
    });
});
