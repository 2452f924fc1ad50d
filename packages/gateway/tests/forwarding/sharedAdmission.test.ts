import { expect } from "chai";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import type { RecordedResponse } from "../support/RecordedResponse.js";
import { responses } from "../support/responses.js";

const [URGENT, OTHER] = [100, 101];

describe("shared admission of streams", () => {
    let rig: ForwarderRig;

    beforeEach(() => {
        rig = ForwarderRig.create();
        rig.configure({ targetGapMs: 1000 });
        addRoute();
        for (const [index, id] of ["g1", "g2"].entries()) {
            const group = { name: id, epoch: index + 1, rank: 0, phase: "open" as const };
            rig.directory.set(exampleUpstream(id, { model: "large", group }));
        }
        rig.client.serve(() => responses.stream(1, 3));
    });

    afterEach(() => rig.close());

    /** Adds a route with the path prefix `/urgent` and the priority 0. */
    function addRoute(): void {
        const { current } = rig.configuration;
        const urgent = { ...current!.routes[0]!, name: "urgent", pathPrefix: "/urgent", priority: 0 };
        rig.configuration.adopt({ ...current!, version: 2, routes: [...current!.routes, urgent] });
    }

    /** Reports requests of another gateway at both groups. */
    function loadGroups(pendingPrefillTokens: number): void {
        const load = { inFlight: 12, pendingPrefillTokens, silentMs: 0 };
        rig.loads.setPeerLoads("peer", [["1", load], ["2", load]]);
    }

    /** Makes the fleet's demand of a rank so large that next to none of it is admitted. */
    function reportShortage(offered = 1_000_000): void {
        const ranks = [
            { rank: URGENT, offered: 1, admitted: 1, refused: 0, late: 0, accounts: [] },
            { rank: OTHER, offered, admitted: 10, refused: offered - 10, late: 0, accounts: [] },
        ];
        const pools = [{ service: "llm", model: "large", zone: "b", ranks }];
        rig.demand.setPeerReport("hub", { pools, gateways: 1, ageMs: 0 });
        loadGroups(0);
    }

    async function settled(response: RecordedResponse): Promise<RecordedResponse> {
        await rig.clock.settle();
        return response;
    }

    it("refuses at once, as not run, what the fleet has no capacity for", async () => {
        reportShortage();
        const refused = await settled(rig.send());
        expect(refused.refusal).to.include({ kind: "not-run", reason: "capacity goes to other requests" });
        expect(refused.refusal?.kind === "not-run" && refused.refusal.retryAfterMs).to.be.within(500, 3000);
        expect(rig.client.sent).to.deep.equal([]);
        expect((await settled(rig.send({ target: "/urgent" }))).text).to.include("id: 3");
        expect(rig.log.lines.find(({ event }) => event === "request refused")?.fields).to.include({ rank: OTHER });
    });

    it("serves what resumes a stream that has begun", async () => {
        reportShortage();
        expect((await settled(rig.send({ lastEventId: "2" }))).text).to.include("id: 3");
    });

    it("resumes a stream that has begun when its group is lost during a shortage", async () => {
        rig.client.script((_, signal) => responses.silentStream(1, 2, signal), () => responses.stream(3, 5));
        const response = await settled(rig.send());
        await rig.clock.advance(600);
        reportShortage();
        expect((await settled(rig.send())).refusal?.kind).to.equal("not-run");
        rig.loads.abortRequests("1", "members do not answer");
        rig.loads.abortRequests("2", "members do not answer");
        await rig.clock.advance(100);
        expect([response.text.includes("id: 5"), response.ending]).to.deep.equal([true, "complete"]);
    });

    // Guards against late responses that make further requests late while there is too little capacity.
    it("sends no request that would be late while requests in time need the capacity", async () => {
        loadGroups(30_000);
        expect((await settled(rig.send({ target: "/urgent" }))).text).to.include("id: 3");
        await rig.clock.advance(600);
        reportShortage();
        loadGroups(30_000);
        const late = rig.send({ target: "/urgent" });
        await rig.clock.advance(500);
        expect(late.refusal).to.include({ kind: "not-run", reason: "no place in time" });
        expect(late.refusal?.kind === "not-run" && late.refusal.retryAfterMs).to.be.within(500, 3000);
        expect(rig.client.sent.length).to.equal(1);
    });

    it("admits requests of one rank as before, and gives their engines no priority", async () => {
        await settled(rig.send({ target: "/urgent" }));
        rig.configure({}, 3);
        reportShortage();
        expect((await settled(rig.send())).text).to.include("id: 3");
        expect(rig.client.sent.map(({ call }) => call.enginePriority)).to.deep.equal([4, undefined]);
    });
});
