import { Agent, type Dispatcher, request } from "undici";
import { z } from "zod";
import type { EngineOrder } from "../EngineOrder.js";
import type { MemberReport } from "../MemberReport.js";
import type { OrderOutcome } from "../OrderOutcome.js";
import type { EngineControl } from "../ports/EngineControl.js";

/** Maximum number of connections to one engine, each with one request in progress. */
const CONNECTIONS_PER_ENGINE = 4;
/** Time after which an idle connection is closed. */
const KEEP_ALIVE_MS = 10_000;

const reportSchema = z.object({
    vm: z.string(),
    bootId: z.string(),
    group: z.string(),
    epoch: z.number().int().nonnegative(),
    modelVersion: z.string(),
    rank: z.number().int().nonnegative(),
    phase: z.enum(["empty", "loading", "ready"]),
    runningRequests: z.number().int().nonnegative(),
    waitingRequests: z.number().int().nonnegative(),
});

const staleSchema = z.object({ error: z.literal("stale-fence"), highestFence: z.number().int() });

interface HttpEngineControlOptions {
    /** Source address of connections. */
    localAddress?: string;
}

/** Calls engines over HTTP/1.1. A call that reaches its timeout closes its connection. */
export class HttpEngineControl implements EngineControl {
    private constructor(private readonly agent: Agent) {}

    /** Creates the adapter without opening a connection. */
    static create(options: HttpEngineControlOptions = {}): HttpEngineControl {
        const agent = new Agent({
            connections: CONNECTIONS_PER_ENGINE,
            pipelining: 1,
            keepAliveTimeout: KEEP_ALIVE_MS,
            ...(options.localAddress === undefined ? {} : { localAddress: options.localAddress }),
        });
        return new HttpEngineControl(agent);
    }

    /** Requests an engine's report; returns undefined if no valid report is received within `timeoutMs`. */
    async report(engineUrl: string, timeoutMs: number): Promise<MemberReport | undefined> {
        const response = await this.call(`${engineUrl}/v1/report`, { method: "GET" }, timeoutMs);
        if (response?.status !== 200) {
            return undefined;
        }
        const parsed = reportSchema.safeParse(response.body);
        return parsed.success ? parsed.data : undefined;
    }

    /**
     * Sends an order. The outcome is `unknown` unless the response clearly accepts the order or refuses it as stale.
     */
    async order(engineUrl: string, order: EngineOrder, timeoutMs: number): Promise<OrderOutcome> {
        const options = {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(order),
        } as const;
        const response = await this.call(`${engineUrl}/v1/orders`, options, timeoutMs);
        if (response?.status === 202) {
            return { kind: "accepted" };
        }
        const stale = staleSchema.safeParse(response?.body);
        if (response?.status === 409 && stale.success) {
            return { kind: "stale", highestFence: stale.data.highestFence };
        }
        return { kind: "unknown" };
    }

    /** Closes every connection. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async call(
        url: string,
        options: { method: Dispatcher.HttpMethod; headers?: Record<string, string>; body?: string; },
        timeoutMs: number,
    ): Promise<{ status: number; body: unknown; } | undefined> {
        try {
            const response = await request(url, {
                ...options,
                dispatcher: this.agent,
                signal: AbortSignal.timeout(timeoutMs),
            });
            return { status: response.statusCode, body: await response.body.json() };
        }
        catch {
            return undefined;
        }
    }
}
