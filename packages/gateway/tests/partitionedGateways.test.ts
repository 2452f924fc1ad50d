import { SystemClock } from "@fescuehaven/runtime";
import { untilTrue } from "@fescuehaven/testing";
import { expect } from "chai";
import type { Gateway } from "../src/Gateway.js";
import { exampleUpstream } from "./support/exampleUpstream.js";
import { freePort } from "./support/freePort.js";
import { GatewayRig } from "./support/GatewayRig.js";
import type { RecordedResponse } from "./support/RecordedResponse.js";

const exampleRequest = {
    id: "relayed",
    method: "POST",
    target: "/llm/",
    host: "h.test",
    headers: [],
    sharedPromptParts: [],
    promptTokens: 1000,
    maxAnswerTokens: 100,
};
/** Each domain has room for one group of each model. */
const DOMAINS = 4;
const DOMAIN_SIZE = 11;
const GROUPS = 8;
/** Until then, the requests of a gateway that is partitioned may fail. */
const DETECTION_MS = 3000;
/** A gateway must use its own path again this soon after the partition. */
const RETURN_MS = 1000;

describe("a gateway that is partitioned from all upstreams", () => {
    let rig: GatewayRig;
    let peer: Gateway;

    /** Sends a request every 100 ms and returns the responses when all have ended. */
    async function sendFor(durationMs: number): Promise<RecordedResponse[]> {
        const responses: RecordedResponse[] = [];
        for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
            responses.push(rig.send("llm"));
            await rig.clock.advance(100);
        }
        await rig.clock.advance(8000);
        return responses;
    }

    function isServed({ refusal, ending, text }: RecordedResponse): boolean {
        return refusal === undefined && ending === "complete" && text.includes("id: 30\n");
    }

    beforeEach(async () => {
        rig = await GatewayRig.start();
        for (let index = 0; index < DOMAINS * DOMAIN_SIZE; index++) {
            rig.fleet.add(exampleUpstream(`u${index}`, { domain: `d${index % DOMAINS}` }));
        }
        peer = rig.addPeer("gateway-1", undefined, await freePort());
        await peer.start();
        await untilTrue(SystemClock.create(), "open groups and two connected gateways", 30_000, async () => {
            await rig.clock.advance(200);
            return rig.fleet.openHeads().length === GROUPS
                && rig.log.lines.filter(({ event }) => event === "peer connected").length >= 2;
        });
        await rig.clock.advance(3000);
    });

    afterEach(() => rig.close());

    it("serves first attempts through a peer that reaches the upstreams", async () => {
        await sendFor(1000);
        rig.partitioned.add("gateway-0");
        await sendFor(DETECTION_MS);
        const responses = await sendFor(3000);
        expect(responses.filter(isServed)).to.have.lengthOf(responses.length);
        rig.partitioned.delete("gateway-0");
        await sendFor(RETURN_MS);
        const later = await sendFor(1000);
        expect(later.filter(isServed)).to.have.lengthOf(later.length);
    });

    it("gets nothing relayed by a peer that shuts down, which would cut it off", async () => {
        const upstreamId = rig.fleet.openHeads()[0]!.id;
        const request = { ...exampleRequest, receivedAtMs: rig.clock.monotonicMs() };
        const send = () => peer.sendForPeer(upstreamId, { request, remainingMs: 8000 }, new AbortController().signal);
        expect((await send()).kind).to.equal("answered");
        await peer.drain(rig.clock.monotonicMs() + 7300);
        expect(await send()).to.deep.equal({ kind: "not-run", reason: "not-connected" });
    });
});
