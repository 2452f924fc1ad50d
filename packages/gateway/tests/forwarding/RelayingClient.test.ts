import { expect } from "chai";
import { RelayingClient } from "../../src/forwarding/RelayingClient.js";
import type { UpstreamRequest } from "../../src/ports/UpstreamRequest.js";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { noMetrics } from "../support/noMetrics.js";
import { responses } from "../support/responses.js";
import { ScriptedUpstreamClient } from "../support/ScriptedUpstreamClient.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";

const NOT_CONNECTED: UpstreamResponse = { kind: "not-run", reason: "not-connected" };
const UNKNOWN: UpstreamResponse = { kind: "unknown", reason: "reset" };
const call = { request: { id: "q" }, remainingMs: 1000 } as UpstreamRequest;

describe("RelayingClient", () => {
    const upstream = exampleUpstream("u1");
    let direct: ScriptedUpstreamClient;
    let toRelay: ScriptedUpstreamClient;
    let relayedTo: string[];
    let isPartitioned: boolean;
    let isSuspected: boolean;
    let relays: string[];

    beforeEach(() => {
        direct = ScriptedUpstreamClient.create();
        toRelay = ScriptedUpstreamClient.create();
        relayedTo = [];
        isPartitioned = true;
        isSuspected = true;
        relays = ["r1:1", "r2:1", "r3:1"];
    });

    function send(): Promise<UpstreamResponse> {
        const client = RelayingClient.create({
            log: SilentDecisionLog.create(),
            metrics: noMetrics,
            direct,
            toRelay: {
                send: (target, request, signal) => {
                    relayedTo.push(target.address);
                    return toRelay.send(target, request, signal);
                },
            },
            isPartitionedFrom: () => isPartitioned,
            isSuspectedFor: () => isSuspected,
            relaysFor: () => relays,
        });
        return client.send(upstream, call, new AbortController().signal);
    }

    it("sends requests to the upstream itself while there is no partition", async () => {
        isPartitioned = false;
        direct.script(() => responses.stream(1, 1));
        expect([(await send()).kind, relayedTo]).to.deep.equal(["answered", []]);
    });

    it("tries the next relay only where the request has certainly not been sent on", async () => {
        toRelay.script(() => NOT_CONNECTED, () => responses.stream(1, 1));
        expect([(await send()).kind, relayedTo]).to.deep.equal(["answered", ["r1:1", "r2:1"]]);
        expect(direct.sent).to.deep.equal([]);
    });

    for (const response of [UNKNOWN, { kind: "not-run", reason: "overloaded" }] as const) {
        it(`sends a request to one relay only that answered: ${response.kind}`, async () => {
            toRelay.script(() => response);
            expect([await send(), relayedTo]).to.deep.equal([response, ["r1:1"]]);
        });
    }

    it("says that the request has not run when no relay reaches the upstream", async () => {
        toRelay.script(() => NOT_CONNECTED, () => NOT_CONNECTED, () => NOT_CONNECTED);
        expect([await send(), relayedTo.length]).to.deep.equal([NOT_CONNECTED, 3]);
    });

    it("uses a relay at once when the upstream accepts no connection and a partition is suspected", async () => {
        isPartitioned = false;
        direct.script(() => NOT_CONNECTED);
        toRelay.script(() => responses.stream(1, 1));
        expect([(await send()).kind, relayedTo]).to.deep.equal(["answered", ["r1:1"]]);
    });

    it("uses no relay for a single upstream that accepts no connection, or a request that may have run", async () => {
        isPartitioned = false;
        isSuspected = false;
        direct.script(() => NOT_CONNECTED);
        expect([await send(), relayedTo]).to.deep.equal([NOT_CONNECTED, []]);
        isSuspected = true;
        direct.script(() => UNKNOWN);
        expect([await send(), relayedTo]).to.deep.equal([UNKNOWN, []]);
    });
});
