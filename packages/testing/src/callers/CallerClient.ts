import type { Clock } from "@fescuehaven/runtime";
import { Agent, type Dispatcher, request } from "undici";
import type { CallOutcome } from "./CallOutcome.js";
import type { CallTiming } from "./CallTiming.js";
import type { ChatCall } from "./ChatCall.js";
import { ChatStreamReader } from "./ChatStreamReader.js";
import type { ServiceCall } from "./ServiceCall.js";

/** Longest wait for a connection. */
const CONNECT_TIMEOUT_MS = 1000;

/** Time that a caller waits beyond the call's own time limit. */
const EXTRA_WAIT_MS = 2000;

/** Error codes after which nothing can have been sent. */
const UNCONNECTED_CODES = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/** Result of one attempt at a call. */
interface CallResult {
    outcome: CallOutcome;
    timing: CallTiming;
}

/** An HTTP client of the routers' caller interface. */
export class CallerClient {
    private constructor(private readonly clock: Clock, private readonly agent: Agent) {}

    /** Creates a client with its own connection pool. */
    static create(options: { clock: Clock; connections?: number; }): CallerClient {
        const agent = new Agent({
            connections: options.connections,
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: { timeout: CONNECT_TIMEOUT_MS },
        });
        return new CallerClient(options.clock, agent);
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    /** Sends a chat call to a router. Never rejects. */
    async chat(routerUrl: string, call: ChatCall): Promise<CallResult> {
        const body = JSON.stringify({
            model: call.model,
            messages: [{ role: "user", content: call.content }],
            max_tokens: call.maxTokens,
            stream: call.stream,
        });
        const headers = {
            "content-type": "application/json",
            authorization: `Bearer ${call.account.apiKey}`,
            "x-request-id": call.requestId,
            "x-timeout-ms": String(call.timeoutMs),
        };
        const read = call.stream ? readStream : readCompletion;
        return this.send(`${routerUrl}/v1/chat/completions`, headers, body, call.timeoutMs, read);
    }

    /** Sends a plain service call to a router. Never rejects. */
    async service(routerUrl: string, call: ServiceCall): Promise<CallResult> {
        const headers: Record<string, string> = {
            "content-type": "text/plain",
            authorization: `Bearer ${call.account.apiKey}`,
            "x-request-id": call.requestId,
            "x-timeout-ms": String(call.timeoutMs),
        };
        if (call.idempotencyKey !== undefined) {
            headers["idempotency-key"] = call.idempotencyKey;
            headers["issued-at"] = call.issuedAt;
        }
        const url = `${routerUrl}/v1/services/${call.route}`;
        return this.send(url, headers, call.body, call.timeoutMs, readText);
    }

    private async send(
        url: string,
        headers: Record<string, string>,
        body: string,
        timeoutMs: number,
        read: (response: Dispatcher.ResponseData, onPart: () => void) => Promise<CallOutcome>,
    ): Promise<CallResult> {
        const startMs = this.clock.monotonicMs();
        const sinceStart = () => this.clock.monotonicMs() - startMs;
        let firstPartMs: number | undefined;
        const outcome = await this.exchange(url, headers, body, timeoutMs, response =>
            read(response, () => {
                firstPartMs ??= sinceStart();
            }));
        const totalMs = sinceStart();
        return { outcome, timing: { firstPartMs: firstPartMs ?? totalMs, totalMs } };
    }

    private async exchange(
        url: string,
        headers: Record<string, string>,
        body: string,
        timeoutMs: number,
        read: (response: Dispatcher.ResponseData) => Promise<CallOutcome>,
    ): Promise<CallOutcome> {
        const timedOut = new AbortController();
        const finished = new AbortController();
        void this.clock.sleep(timeoutMs + EXTRA_WAIT_MS, finished.signal).then(() => timedOut.abort());
        try {
            const response = await request(url, {
                dispatcher: this.agent,
                method: "POST",
                headers,
                body,
                signal: timedOut.signal,
            });
            return response.statusCode === 200 ? await read(response) : await readRefusal(response);
        }
        catch (error) {
            const reason = (error as { code?: string; }).code ?? (error as Error).message;
            return UNCONNECTED_CODES.has(reason)
                ? { kind: "unconnected", reason }
                : { kind: "interrupted", parts: [], reason };
        }
        finally {
            finished.abort();
        }
    }
}

async function readRefusal(response: Dispatcher.ResponseData): Promise<CallOutcome> {
    const body = (await response.body.json()) as {
        error?: { type?: string; ran?: "no" | "yes" | "unknown"; retryAfterMs?: number; };
    };
    return {
        kind: "refused",
        status: response.statusCode,
        type: body.error?.type ?? "untyped",
        ran: body.error?.ran ?? "unknown",
        retryAfterMs: body.error?.retryAfterMs ?? 0,
    };
}

async function readText(response: Dispatcher.ResponseData, onPart: () => void): Promise<CallOutcome> {
    const text = await response.body.text();
    onPart();
    return { kind: "answered", parts: [text] };
}

async function readCompletion(response: Dispatcher.ResponseData, onPart: () => void): Promise<CallOutcome> {
    const body = (await response.body.json()) as { choices: Array<{ message: { content: string; }; }>; };
    onPart();
    return { kind: "answered", parts: [body.choices[0]?.message.content ?? ""] };
}

async function readStream(response: Dispatcher.ResponseData, onPart: () => void): Promise<CallOutcome> {
    const reader = ChatStreamReader.create();
    try {
        for await (const bytes of response.body) {
            const before = reader.parts.length;
            reader.feed(bytes as Uint8Array);
            if (reader.parts.length > before) {
                onPart();
            }
        }
    }
    catch (error) {
        return { kind: "interrupted", parts: reader.parts, reason: (error as Error).message };
    }
    return reader.isComplete
        ? { kind: "answered", parts: reader.parts }
        : { kind: "interrupted", parts: reader.parts, reason: reader.failure ?? "ended early" };
}
