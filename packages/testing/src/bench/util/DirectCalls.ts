import type { Clock } from "@fescuehaven/runtime";
import { Agent, request } from "undici";
import type { ChatCall } from "../../callers/ChatCall.js";
import { promptOf } from "../../callers/promptOf.js";
import { requireWhole } from "./requireWhole.js";

/** Calls the stand-ins without a router, as the baseline for routers. */
export class DirectCalls {
    private readonly agent = new Agent({ pipelining: 1 });

    private constructor(private readonly clock: Clock) {}

    /** Creates a client; opens no connection yet. */
    static create(clock: Clock): DirectCalls {
        return new DirectCalls(clock);
    }

    /** Generates text at an engine; returns the latency in ms. Throws if the response is incomplete. */
    async generate(engineUrl: string, group: string, epoch: number, call: ChatCall): Promise<number> {
        const startMs = this.clock.monotonicMs();
        const response = await request(`${engineUrl}/v1/generate`, {
            dispatcher: this.agent,
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({
                requestId: call.requestId,
                attemptId: call.requestId,
                group,
                epoch,
                prompt: promptOf(call),
                maxTokens: call.maxTokens,
            }),
        });
        const text = await response.body.text();
        requireWhole(text.includes(`"done":true`), text);
        return this.clock.monotonicMs() - startMs;
    }

    /** Calls a plain service; returns the latency in ms. Throws if the response is incomplete. */
    async service(url: string, body: string): Promise<number> {
        const startMs = this.clock.monotonicMs();
        const response = await request(url, { dispatcher: this.agent, method: "POST", body });
        const result = (await response.body.json()) as { bodySha256?: string; };
        requireWhole(result.bodySha256 !== undefined, result);
        return this.clock.monotonicMs() - startMs;
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }
}
