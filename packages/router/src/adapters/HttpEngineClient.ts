import { Agent, request } from "undici";
import { z } from "zod";
import type { EngineCall } from "../generation/EngineCall.js";
import type { StreamEvent } from "../generation/StreamEvent.js";
import type { EngineClient } from "../ports/EngineClient.js";
import { isNeverSent } from "../util/isNeverSent.js";
import { SseParser } from "../util/SseParser.js";

interface HttpEngineClientOptions {
    /** Local address of the connections. */
    localAddress?: string;
    /** Longest wait for a connection. */
    connectTimeoutMs: number;
}

const tokenSchema = z.object({
    requestId: z.string(),
    attemptId: z.string(),
    index: z.number().int().nonnegative(),
    text: z.string(),
});
const doneSchema = z.object({
    requestId: z.string(),
    attemptId: z.string(),
    done: z.literal(true),
    tokenCount: z.number().int().nonnegative(),
});
const refusalSchema = z.object({
    error: z.string(),
    ran: z.literal(false),
    retryAfterMs: z.number().nonnegative().optional(),
});

const MAX_BLOCK_CHARACTERS = 262_144;
const MAX_REFUSAL_BYTES = 65_536;
const CANCEL_TIMEOUT_MS = 1000;
/** Most connections to one engine; the limits of the groups keep the number in use far lower. */
const MAX_CONNECTIONS = 4096;

/** Client of the engines' inference protocol: JSON requests over HTTP/1.1, responses as server-sent events. */
export class HttpEngineClient implements EngineClient {
    private constructor(private readonly agent: Agent) {}

    /** Creates a client. */
    static create(options: HttpEngineClientOptions): HttpEngineClient {
        return new HttpEngineClient(
            new Agent({
                connections: MAX_CONNECTIONS,
                pipelining: 1,
                headersTimeout: 0,
                bodyTimeout: 0,
                connect: { timeout: options.connectTimeoutMs, localAddress: options.localAddress },
            }),
        );
    }

    /** Starts a generation and yields its events. */
    async *generate(headUrl: string, call: EngineCall, signal: AbortSignal): AsyncGenerator<StreamEvent> {
        let hasResponse = false;
        try {
            const response = await request(new URL("/v1/generate", headUrl), {
                dispatcher: this.agent,
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(call),
                signal,
            });
            hasResponse = true;
            if (response.statusCode !== 200) {
                yield parseRefusal(response.statusCode, await readTruncated(response.body));
                return;
            }
            yield* readStream(response.body);
        }
        catch (error) {
            yield { kind: "broken", reason: reasonOf(error), sent: hasResponse || !isNeverSent(error) };
        }
    }

    /** Cancels an attempt; errors are ignored. */
    async cancel(headUrl: string, attemptId: string): Promise<void> {
        try {
            const response = await request(new URL(`/v1/generate/${encodeURIComponent(attemptId)}`, headUrl), {
                dispatcher: this.agent,
                method: "DELETE",
                signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
            });
            await response.body.dump();
        }
        catch {
            // The engine detects the closed connection, or completes a response that nobody reads.
        }
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }
}

async function* readStream(body: AsyncIterable<Uint8Array>): AsyncGenerator<StreamEvent> {
    const parser = SseParser.create(MAX_BLOCK_CHARACTERS);
    for await (const bytes of body) {
        const blocks = parser.push(bytes);
        if (!blocks) {
            yield { kind: "broken", reason: "event-too-long", sent: true };
            return;
        }
        for (const block of blocks) {
            const event = block.kind === "comment" ? { kind: "heartbeat" } as const : parseEvent(block.data);
            yield event;
            if (event.kind === "broken") {
                return;
            }
        }
    }
    yield { kind: "broken", reason: "stream-ended", sent: true };
}

function parseEvent(data: string): StreamEvent {
    const raw = parseJson(data);
    const token = tokenSchema.safeParse(raw);
    if (token.success) {
        return { kind: "token", ...token.data };
    }
    const done = doneSchema.safeParse(raw);
    if (done.success) {
        const { requestId, attemptId, tokenCount } = done.data;
        return { kind: "done", requestId, attemptId, tokenCount };
    }
    return { kind: "broken", reason: "bad-event", sent: true };
}

function parseRefusal(status: number, text: string): StreamEvent {
    const refusal = refusalSchema.safeParse(parseJson(text));
    return refusal.success
        ? { kind: "refused", reason: refusal.data.error, retryAfterMs: refusal.data.retryAfterMs }
        : { kind: "broken", reason: `status-${status}`, sent: true };
}

async function readTruncated(body: AsyncIterable<Uint8Array>): Promise<string> {
    const parts: Uint8Array[] = [];
    let length = 0;
    for await (const bytes of body) {
        length += bytes.byteLength;
        if (length > MAX_REFUSAL_BYTES) {
            break;
        }
        parts.push(bytes);
    }
    return Buffer.concat(parts).toString("utf8");
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

function reasonOf(error: unknown): string {
    const { code, name } = error as { code?: string; name?: string; };
    return code ?? name ?? "error";
}
