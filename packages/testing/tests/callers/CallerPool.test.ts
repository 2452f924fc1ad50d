import { SystemClock } from "@fescuehaven/runtime";
import { expect } from "chai";
import Fastify, { type FastifyInstance } from "fastify";
import { Balancer } from "../../src/callers/Balancer.js";
import { CallerClient } from "../../src/callers/CallerClient.js";
import { CallerPool } from "../../src/callers/CallerPool.js";
import { ResponseChecker } from "../../src/callers/ResponseChecker.js";
import { workloadSchema } from "../../src/callers/Workload.js";
import { SeededRandom } from "../../src/fakes/SeededRandom.js";
import { expectedTokens } from "../../src/standins/expectedTokens.js";

interface ChatBody {
    messages: Array<{ role: string; content: string; }>;
    max_tokens: number;
    stream: boolean;
}

const REFUSAL = { error: { type: "overloaded", message: "full", ran: "no", retryAfterMs: 1 } };

describe("CallerPool", () => {
    const clock = SystemClock.create();
    let router: FastifyInstance;
    let refusals: number;

    /** Starts a router that refuses the first attempt of each call and answers the second. */
    beforeEach(async () => {
        refusals = 0;
        router = Fastify();
        router.get("/readyz", () => ({}));
        router.post<{ Body: ChatBody; }>("/v1/chat/completions", async (request, reply) => {
            if (String(request.headers["x-request-id"]).endsWith(".1")) {
                refusals += 1;
                return reply.code(503).send(REFUSAL);
            }
            const { messages, max_tokens: maxTokens, stream } = request.body;
            const tokens = expectedTokens("m-1", `${messages[0]?.role}: ${messages[0]?.content}\n`, maxTokens);
            if (!stream) {
                return { choices: [{ message: { content: tokens.join("") } }] };
            }
            const chunks = tokens.map(content => JSON.stringify({ choices: [{ delta: { content } }] }));
            return [...chunks, "[DONE]"].map(data => `data: ${data}\n\n`).join("");
        });
        await router.listen({ host: "127.0.0.1", port: 0 });
    });

    afterEach(async () => router.close());

    it("sends, repeats and checks streamed and unstreamed chat calls", async () => {
        const url = `http://127.0.0.1:${(router.addresses()[0] as { port: number; }).port}`;
        const random = SeededRandom.create(5);
        const client = CallerClient.create({ clock });
        const balancer = Balancer.create({ urls: [url], clock, random });
        const checker = ResponseChecker.create();
        const pool = CallerPool.create({
            clock,
            random,
            client,
            balancer,
            checker,
            accounts: [{ name: "a", apiKey: "k", share: 1 }],
            workload: workloadSchema.parse({ callsPerSecond: 200 }),
            model: "m",
            modelVersions: ["m-1"],
            routes: { repeatable: "r", keyed: "k" },
        });
        const records = await pool.run(300);
        expect(records.length).to.be.greaterThan(20);
        expect(checker.counts.correct).to.equal(records.length);
        expect(refusals).to.equal(records.length);
        expect(records.map(record => record.attempts.length)).to.include(2);
        await client.close();
        await balancer.close();
    });
});
