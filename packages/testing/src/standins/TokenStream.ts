import type { ServerResponse } from "node:http";
import type { GenerateRequest } from "./GenerateRequest.js";
import { tokenAt } from "./tokenAt.js";

/** Longest silence on a stream before a heartbeat is sent, ms. */
const HEARTBEAT_MS = 1000;

/** Switches for wrong behaviour of one stream. */
interface StreamFaults {
    duplicateTokens: boolean;
    crossAnswers: boolean;
}

/** One generation's stream of server-sent events. */
export class TokenStream {
    private nextIndex: number;
    private lastWriteMs: number;

    private constructor(
        readonly request: GenerateRequest,
        private readonly modelVersion: string,
        private readonly response: ServerResponse,
        nowMs: number,
        /** Tokens after which the stream is cut; undefined: never. */
        private readonly breakAfterTokens: number | undefined,
    ) {
        this.nextIndex = request.resumeFromToken;
        this.lastWriteMs = nowMs;
    }

    /** Creates the stream and sends the response's head. */
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

    /** Sends the next token; gives what became of the stream. */
    step(nowMs: number, faults: StreamFaults, other: TokenStream | undefined): "open" | "done" | "broken" {
        if (this.nextIndex - this.request.resumeFromToken === this.breakAfterTokens) {
            this.break();
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

    /** Sends a comment if nothing was sent for a while. */
    heartbeat(nowMs: number): void {
        if (nowMs - this.lastWriteMs >= HEARTBEAT_MS) {
            this.lastWriteMs = nowMs;
            this.response.write(": heartbeat\n\n");
        }
    }

    /** Cuts the connection. */
    break(): void {
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
