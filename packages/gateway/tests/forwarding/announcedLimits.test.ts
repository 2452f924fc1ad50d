import { expect } from "chai";
import type { Upstream } from "../../src/model/Upstream.js";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import { mostWithin } from "../support/mostWithin.js";
import type { RecordedResponse } from "../support/RecordedResponse.js";
import { responses } from "../support/responses.js";

const WINDOW_MS = 4000;
/** Gateways have this long to follow a limit that was announced for the first time. */
const STABLE_WINDOW_MS = 3000;
const REQUEST_INTERVAL_MS = 50;

const paths = [
    {
        name: "plain requests",
        route: { kind: "once" as const, targets: [{ service: "app", weight: 1 }] },
        upstream: (id: string, _epoch: number): Upstream => exampleUpstream(id, { service: "app" }),
        response: (): UpstreamResponse => responses.complete(200, "ok"),
    },
    {
        name: "streams",
        route: {},
        upstream: (id: string, epoch: number): Upstream =>
            exampleUpstream(id, { model: "large", group: { name: id, epoch, rank: 0, phase: "open" } }),
        response: (): UpstreamResponse => responses.stream(1, 3),
    },
];

for (const { name, route, upstream, response } of paths) {
    describe(`an upstream that announces a limit on its requests: ${name}`, () => {
        let rig: ForwarderRig;
        const sentAtMs = new Map<string, number[]>();

        beforeEach(() => {
            rig = ForwarderRig.create();
            rig.configure(route);
            sentAtMs.clear();
        });

        afterEach(() => rig.close());

        /** Lets the upstream announce `limits[id]` requests a second in each response. */
        function serve(limits: Readonly<Record<string, number | string>>): void {
            rig.client.serve(({ id }) => {
                sentAtMs.set(id, [...sentAtMs.get(id) ?? [], rig.clock.monotonicMs()]);
                const value = limits[id];
                const limit = typeof value === "number"
                    ? { kind: "limited" as const, requestsPerSecond: value }
                    : value === undefined
                    ? undefined
                    : { kind: "unreadable" as const, text: value };
                const answered = response();
                return answered.kind === "answered" && limit ? { ...answered, announcements: { limit } } : answered;
            });
        }

        async function sendFor(durationMs: number): Promise<RecordedResponse[]> {
            const sent: RecordedResponse[] = [];
            for (let atMs = 0; atMs < durationMs; atMs += REQUEST_INTERVAL_MS) {
                sent.push(rig.send({ id: `q${sent.length}` }));
                await rig.clock.advance(REQUEST_INTERVAL_MS);
            }
            return sent;
        }

        function mostSentTo(id: string, sinceMs: number): number {
            return mostWithin((sentAtMs.get(id) ?? []).filter(atMs => atMs >= sinceMs), WINDOW_MS);
        }

        it("keeps its limit when it rejects a request without one", async () => {
            rig.directory.set(upstream("limited", 1));
            rig.directory.set(upstream("free", 2));
            let responsesOfLimited = 0;
            rig.client.serve(({ id }) => {
                if (id === "free") {
                    return response();
                }
                sentAtMs.set(id, [...sentAtMs.get(id) ?? [], rig.clock.monotonicMs()]);
                responsesOfLimited += 1;
                const answered = response();
                return responsesOfLimited % 2 === 0 || answered.kind !== "answered"
                    ? { kind: "not-run", reason: "overloaded" }
                    : { ...answered, announcements: { limit: { kind: "limited", requestsPerSecond: 1 } } };
            });
            const sinceMs = rig.clock.monotonicMs() + STABLE_WINDOW_MS;
            await sendFor(20_000);
            expect(mostSentTo("limited", sinceMs)).to.be.at.most(1.5 * WINDOW_MS / 1000 + 5);
        });

        for (const limit of [0, 0.2, 1.1, 2, 5]) {
            it(`does not get more than ${limit} a second allows`, async () => {
                rig.directory.set(upstream("limited", 1));
                rig.directory.set(upstream("free", 2));
                serve({ limited: limit });
                const sinceMs = rig.clock.monotonicMs() + STABLE_WINDOW_MS;
                const sent = await sendFor(20_000);
                expect(mostSentTo("limited", sinceMs)).to.be.at.most(1.5 * limit * WINDOW_MS / 1000 + 5);
                expect(sent.filter(({ ending }) => ending !== "complete")).to.deep.equal([]);
            });
        }
    });
}
