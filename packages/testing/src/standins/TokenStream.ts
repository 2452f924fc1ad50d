import type { ServerResponse } from "node:http";
import type { GenerateRequest } from "./GenerateRequest.js";
import { tokenAt } from "./tokenAt.js";

/** Longest time without a write before a heartbeat is sent. */
const HEARTBEAT_MS = 1000;

/** Injected faults that apply to each token. */
interface StreamFaults {
    duplicateTokens: boolean;
    crossAnswers: boolean;
}

/** The stream of server-sent events of one generation. */
export class TokenStream {
    private nextIndex: number;
    private lastWriteMs: number;

    private constructor(
        readonly request: GenerateRequest,
        private readonly modelVersion: string,
        private readonly response: ServerResponse,
        nowMs: number,
        /** Number of tokens after which the stream is aborted; undefined for no abort. */
        private readonly breakAfterTokens: number | undefined,
    ) {
        this.nextIndex = request.resumeFromToken;
        this.lastWriteMs = nowMs;
    }

    /** Creates the stream and sends the response headers. */
    static create(options: {
        request: GenerateRequest;
        modelVersion: string;
        response: ServerResponse;
        nowMs: number;
        breakAfterTokens: number | undefined;
    }): TokenStream {
        const { request, modelVersion, response, nowMs, breakAfterTokens } = options;
        response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
        response.flushHeaders();
        return new TokenStream(request, modelVersion, response, nowMs, breakAfterTokens);
    }

    /** Sends the next token, and the closing event after the last one. Returns the resulting state of the stream. */
    step(nowMs: number, faults: StreamFaults, other: TokenStream | undefined): "open" | "done" | "broken" {
        if (this.nextIndex - this.request.resumeFromToken === this.breakAfterTokens) {
            this.abort();
            return "broken";
        }
        if (this.nextIndex < this.request.maxTokens) {
            this.sendToken(nowMs, faults, other);
        }
        if (this.nextIndex < this.request.maxTokens) {
            return "open";
        }
        const { requestId, attemptId, maxTokens } = this.request;
        this.send({ requestId, attemptId, done: true, tokenCount: maxTokens }, nowMs);
        this.response.end();
        return "done";
    }

    /** Sends a comment if nothing was sent for `HEARTBEAT_MS`. */
    sendHeartbeatIfIdle(nowMs: number): void {
        if (nowMs - this.lastWriteMs >= HEARTBEAT_MS) {
            this.lastWriteMs = nowMs;
            this.response.write(": heartbeat\n\n");
        }
    }

    /** Closes the connection without the closing event. */
    abort(): void {
        this.response.destroy();
    }

    private sendToken(nowMs: number, faults: StreamFaults, other: TokenStream | undefined): void {
        if (faults.crossAnswers) {
            this.send(other?.currentEvent() ?? { ...this.currentEvent(), requestId: "other-request" }, nowMs);
        }
        const event = this.currentEvent();
        this.send(event, nowMs);
        if (faults.duplicateTokens) {
            this.send(event, nowMs);
        }
        this.nextIndex += 1;
    }

    private currentEvent(): Record<string, unknown> {
        const { requestId, attemptId, prompt } = this.request;
        const index = this.nextIndex;
        return { requestId, attemptId, index, text: tokenAt(this.modelVersion, prompt, index) };
    }

    private send(event: Record<string, unknown>, nowMs: number): void {
        this.lastWriteMs = nowMs;
        this.response.write(`data: ${JSON.stringify(event)}\n\n`);
    }
}
