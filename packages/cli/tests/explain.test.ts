import { expect } from "chai";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { HttpExplanationReader } from "../src/adapters/HttpExplanationReader.js";
import { explainRequest } from "../src/commands/explainRequest.js";

const question = { host: "api.example", target: "/chat", model: "m0", promptTokens: 700 };
const candidate = { upstream: "vm-1", zone: "a", inFlight: 3, unreadTokens: 0, predictedMs: 87, cost: 87, chance: 1 };
const explained = {
    kind: "explained",
    zone: "a",
    gateways: 13,
    route: "chat",
    configurationVersion: 7,
    configurationAgeMs: 40,
    viewAgeMs: 60,
    services: [{
        service: "llm",
        weight: 1,
        spillover: { share: 0.25, targets: { b: 1 }, reason: "own zone is short", ageMs: 120 },
        candidates: [
            { ...candidate, group: { name: "g1", epoch: 12 } },
            {
                ...candidate,
                upstream: "vm-2",
                predictedMs: undefined,
                cost: undefined,
                chance: 0,
                against: "no free slot",
            },
        ],
    }],
};

describe("fescue explain", () => {
    async function run(answer: unknown, format: "table" | "json" = "table") {
        const lines: string[] = [];
        const output = {
            line: (text: string) => void lines.push(text),
            error: (text: string) => void lines.push(text),
        };
        const reader = { explain: async () => answer };
        return { outcome: await explainRequest({ reader, output, gateway: "http://g", question, format }), lines };
    }

    it("prints the inputs with their age, and each candidate with what speaks against it", async () => {
        const { outcome, lines } = await run(explained);
        expect([outcome, ...lines]).to.deep.equal([
            "done",
            "route chat, configuration 7 (40 ms old), upstreams 60 ms old",
            "gateway in zone a, one of 13",
            "",
            "service llm, weight 1; leaves the zone: 25% (own zone is short; 120 ms old), for b 100%",
            "UPSTREAM  ZONE  GROUP  IN FLIGHT  UNREAD  FIRST EVENT MS  COST  CHANCE  AGAINST",
            "vm-1      a     g1/12  3          0       87              87    100%",
            "vm-2      a            3          0                             0%      no free slot",
        ]);
    });

    it("prints the gateway's answer as JSON", async () => {
        const { lines } = await run(explained, "json");
        expect(JSON.parse(lines.join("\n"))).to.deep.equal(JSON.parse(JSON.stringify(explained)));
    });

    const failures: ReadonlyArray<[string, unknown, string]> = [
        ["no route matches", { kind: "no-route" }, "not-found"],
        ["the gateway has no configuration", { kind: "unconfigured" }, "unavailable"],
        ["the gateway does not answer", undefined, "unavailable"],
        ["the answer is of another kind", { kind: "?" }, "unavailable"],
    ];
    for (const [title, answer, outcome] of failures) {
        it(`ends with ${outcome} if ${title}`, async () => {
            expect((await run(answer)).outcome).to.equal(outcome);
        });
    }

    it("asks at the gateway's metrics address", async () => {
        let asked: string | undefined;
        const server = createServer((request, response) => {
            asked = request.url;
            response.setHeader("content-type", "application/json").end(JSON.stringify(explained));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const answer = await HttpExplanationReader.create(2000).explain(`http://127.0.0.1:${port}`, question);
        server.close();
        server.closeAllConnections();
        expect(asked).to.equal("/explain?host=api.example&target=%2Fchat&promptTokens=700&model=m0");
        expect(answer).to.have.property("kind", "explained");
    });

    it("reads nothing from an address that does not answer", async () => {
        expect(await HttpExplanationReader.create(500).explain("http://127.0.0.1:1", question)).to.equal(undefined);
    });
});
