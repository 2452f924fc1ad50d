import type { Clock } from "@fescuehaven/runtime";
import type { FastifyReply } from "fastify";
import type { ServerResponse } from "node:http";
import type { Refusal } from "../Refusal.js";
import { refusalBody } from "./refusalBody.js";

interface ChatStreamOptions {
    reply: FastifyReply;
    clock: Clock;
    requestId: string;
    model: string;
    /** Longest wait for a slow caller to receive more. */
    callerStallMs: number;
    /** Called when the caller receives nothing for that long. */
    onStall: () => void;
}

/** Writes a response to the caller as server-sent events, one token each. */
export class ChatStream {
    private isOpen = false;
    private readonly createdSeconds: number;

    private constructor(private readonly options: ChatStreamOptions) {
        this.createdSeconds = Math.floor(options.clock.now().getTime() / 1000);
    }

    /** Creates a stream. Nothing is sent before the first token, so that a refusal can still be a plain response. */
    static create(options: ChatStreamOptions): ChatStream {
        return new ChatStream(options);
    }

    /** True once a part of the response was sent. */
    get hasBegun(): boolean {
        return this.isOpen;
    }

    /** Sends a token; resolves once the connection can take more. */
    async writeToken(text: string): Promise<void> {
        await this.write(this.chunk({ delta: { content: text } }));
    }

    /** Ends a complete response. */
    finish(finishReason: "stop" | "length"): void {
        this.open();
        this.raw.end(`${this.chunk({ delta: {}, finish_reason: finishReason })}data: [DONE]\n\n`);
    }

    /** Ends an incomplete response with an error event. */
    fail(refusal: Refusal): void {
        this.raw.end(`event: error\ndata: ${JSON.stringify(refusalBody(refusal))}\n\n`);
    }

    private get raw(): ServerResponse {
        return this.options.reply.raw;
    }

    private chunk(choice: { delta: { content?: string; }; finish_reason?: string; }): string {
        const { requestId, model } = this.options;
        return `data: ${
            JSON.stringify({
                id: requestId,
                object: "chat.completion.chunk",
                created: this.createdSeconds,
                model,
                choices: [{ index: 0, ...choice }],
            })
        }\n\n`;
    }

    private async write(text: string): Promise<void> {
        this.open();
        if (this.raw.destroyed || this.raw.write(text)) {
            return;
        }
        await this.waitForDrain();
    }

    private open(): void {
        if (this.isOpen) {
            return;
        }
        this.isOpen = true;
        this.options.reply.hijack();
        this.raw.writeHead(200, {
            "content-type": "text/event-stream",
            "cache-control": "no-cache",
            "x-request-id": this.options.requestId,
        });
    }

    private async waitForDrain(): Promise<void> {
        const ended = new AbortController();
        const end = () => ended.abort();
        this.raw.once("drain", end);
        this.raw.once("close", end);
        await this.options.clock.sleep(this.options.callerStallMs, ended.signal);
        this.raw.off("drain", end);
        this.raw.off("close", end);
        if (!ended.signal.aborted) {
            this.raw.destroy();
            this.options.onStall();
        }
    }
}
