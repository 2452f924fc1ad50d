import { expect } from "chai";
import type { Upstream } from "../../src/model/Upstream.js";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import { responses } from "../support/responses.js";

const paths = [
    {
        name: "plain requests",
        route: { kind: "once" as const, targets: [{ service: "app", weight: 1 }] },
        upstream: (id: string, changes: Partial<Upstream> = {}): Upstream =>
            exampleUpstream(id, { service: "app", domain: "", ...changes }),
        response: (): UpstreamResponse => responses.complete(200, "ok"),
    },
    {
        name: "streams",
        route: {},
        upstream: (id: string, changes: Partial<Upstream> = {}): Upstream =>
            exampleUpstream(id, {
                model: "large",
                group: { name: id, epoch: id === "leaving" ? 1 : 2, rank: 0, phase: "open" },
                ...changes,
            }),
        response: (): UpstreamResponse => responses.stream(1, 3),
    },
];

const leavingResponses: ReadonlyArray<[string, (response: UpstreamResponse) => UpstreamResponse]> = [
    ["a response", response => ({ ...response, announcements: { isLeaving: true } } as UpstreamResponse)],
    ["an error response", () => ({
        ...responses.complete(500, "no"),
        announcements: { isLeaving: true },
    } as UpstreamResponse)],
    ["a rejection", () => ({ kind: "not-run", reason: "overloaded", announcements: { isLeaving: true } })],
];

for (const { name, route, upstream, response } of paths) {
    describe(`an upstream that says that it is leaving: ${name}`, () => {
        let rig: ForwarderRig;

        beforeEach(() => {
            rig = ForwarderRig.create();
            rig.configure(route);
            rig.directory.set(upstream("leaving"));
        });

        afterEach(() => rig.close());

        /** Sends requests and returns the upstreams that they reached. */
        async function send(requests: number): Promise<string[]> {
            const before = rig.client.sent.length;
            for (let index = 0; index < requests; index++) {
                rig.send({ id: `q${before}-${index}` });
                await rig.clock.advance(50);
            }
            return rig.client.sent.slice(before).map(item => item.upstream);
        }

        for (const [title, announce] of leavingResponses) {
            it(`gets no request after ${title}, while its registration says that it is ready`, async () => {
                rig.client.serve(({ id }) => id === "leaving" ? announce(response()) : response());
                expect(await send(1)).to.deep.equal(["leaving"]);
                rig.directory.set(upstream("other"));
                rig.directory.set(upstream("leaving", { registrationNumber: 7 }));
                expect(new Set(await send(20))).to.deep.equal(new Set(["other"]));
                await rig.clock.advance(90_000);
                rig.directory.expireMissing();
                rig.directory.replaceAll([upstream("leaving", { registrationNumber: 9 }), upstream("other")], false);
                expect(new Set(await send(20))).to.deep.equal(new Set(["other"]));
            });
        }

        it("gets requests again as a new instance at the same address", async () => {
            rig.client.serve(() => ({ ...response(), announcements: { isLeaving: true } } as UpstreamResponse));
            await send(1);
            rig.client.serve(response);
            rig.directory.set(upstream("leaving", { startedAtMs: 2000 }));
            expect(await send(1)).to.deep.equal(["leaving"]);
        });

        it("does not get requests that waited for a slot when it said so", async () => {
            rig.client.serve(({ id }) => {
                if (id !== "leaving") {
                    return response();
                }
                return { kind: "not-run", reason: "overloaded", announcements: { isLeaving: true } };
            });
            rig.send({ id: "first" });
            await rig.clock.advance(10);
            rig.send({ id: "waiting" });
            rig.directory.set(upstream("other"));
            await rig.clock.advance(1000);
            const reached = rig.client.sent.map(({ upstream: id, call }) => `${call.request.id} ${id}`);
            expect(reached.filter(item => item.startsWith("waiting"))).to.deep.equal(
                reached.includes("waiting other") ? ["waiting other"] : [],
            );
            expect(reached.filter(item => item.endsWith(" leaving"))).to.deep.equal(["first leaving"]);
        });

        it("is not taken for leaving because another instance at its address says so", async () => {
            rig.client.script(() => ({
                kind: "not-run",
                reason: "other-instance",
                announcements: { isLeaving: true },
            }));
            rig.client.serve(response);
            rig.send();
            await rig.clock.advance(2000);
            expect(rig.directory.get("leaving")?.state).to.equal("ready");
        });
    });
}

describe("a stream on an upstream that is leaving", () => {
    it("is forwarded to its end", async () => {
        const rig = ForwarderRig.create();
        rig.configure();
        const group = { name: "g", epoch: 1, rank: 0, phase: "open" as const };
        rig.directory.set(exampleUpstream("leaving", { model: "large", group }));
        rig.client.serve((_, signal) => ({
            ...responses.pausedStream({ last: 2, until: 5, pauseMs: 500 }, rig.clock, signal),
            announcements: { isLeaving: true },
        } as UpstreamResponse));
        const sent = rig.send();
        await rig.clock.advance(1000);
        expect([sent.ending, sent.text.match(/id: \d/g)?.length]).to.deep.equal(["complete", 5]);
        expect(rig.client.sent.length).to.equal(1);
        rig.close();
    });
});
