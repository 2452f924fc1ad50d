import { SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import type { UpstreamRequest } from "../../src/ports/UpstreamRequest.js";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import { responses } from "../support/responses.js";

const SEEDS = 60;
const GROUPS = 6;
const REQUESTS = 40;
const MAX_ATTEMPTS = 2;
const STEP_MS = 100;
/** Longer than the time that a request has. */
const DURATION_MS = 16_000;
const LAST_EVENT = 20;

interface Behaviour {
    /** True if the upstream runs the request, or may have run it. */
    mayRun: boolean;
    respond: (call: UpstreamRequest, signal: AbortSignal) => UpstreamResponse;
}

const firstEventOf = (call: UpstreamRequest) => Number(call.resumeAfter ?? 0) + 1;

const behaviours: readonly Behaviour[] = [
    { mayRun: true, respond: call => responses.stream(firstEventOf(call), LAST_EVENT) },
    { mayRun: true, respond: call => responses.brokenStream(firstEventOf(call), firstEventOf(call) + 1) },
    {
        mayRun: true,
        respond: (call, signal) => responses.silentStream(firstEventOf(call), firstEventOf(call) + 1, signal),
    },
    { mayRun: true, respond: () => responses.complete(500, "failed") },
    { mayRun: true, respond: () => ({ kind: "unknown", reason: "reset" }) },
    { mayRun: true, respond: () => ({ kind: "unknown", reason: "reset", isStaleConnection: true }) },
    { mayRun: false, respond: () => ({ kind: "not-run", reason: "overloaded" }) },
    { mayRun: false, respond: () => ({ kind: "not-run", reason: "not-connected" }) },
    { mayRun: false, respond: () => ({ kind: "not-run", reason: "other-instance" }) },
];

describe("streams whose upstreams fail in any order", () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
        // Guards against an attempt that is not counted because it ended at once, was stale or had a reserved retry.
        it(`run on no more upstreams than their route allows, seed ${seed}`, async () => {
            const random = SeededRandom.create(seed);
            const rig = ForwarderRig.create({ retrySlack: 1000 });
            rig.configure({ maxAttempts: MAX_ATTEMPTS });
            const mayHaveRunOn = new Map<string, Set<string>>();
            rig.client.serve((upstream, signal, call) => {
                const { mayRun, respond } = behaviours[Math.floor(random.next() * behaviours.length)]!;
                if (mayRun) {
                    const { id } = call.request;
                    mayHaveRunOn.set(id, (mayHaveRunOn.get(id) ?? new Set()).add(upstream.id));
                }
                return respond(call, signal);
            });
            let epoch = 0;
            const open = (index: number) => {
                epoch += 1;
                const id = `head-${index}`;
                const group = { name: id, epoch, rank: 0, phase: "open" as const };
                rig.directory.set(exampleUpstream(id, { model: "large", group, startedAtMs: 1000 + epoch }));
            };
            for (let index = 0; index < GROUPS; index++) {
                open(index);
            }
            for (let passedMs = 0, sent = 0; passedMs < DURATION_MS; passedMs += STEP_MS) {
                if (sent < REQUESTS) {
                    rig.send({ id: `q${sent}` });
                    sent += 1;
                }
                if (random.next() < 0.2) {
                    const lost = epoch - Math.floor(random.next() * GROUPS);
                    rig.groups.markLost(lost);
                    rig.loads.abortRequests(String(lost), "lost");
                }
                if (random.next() < 0.2) {
                    open(Math.floor(random.next() * GROUPS));
                }
                await rig.clock.advance(STEP_MS);
            }
            rig.close();
            const tooMany = [...mayHaveRunOn].filter(([, upstreams]) => upstreams.size > MAX_ATTEMPTS);
            expect(tooMany.map(([id, upstreams]) => [id, [...upstreams]])).to.deep.equal([]);
            expect(mayHaveRunOn.size).to.be.greaterThan(REQUESTS / 2);
        });
    }
});
