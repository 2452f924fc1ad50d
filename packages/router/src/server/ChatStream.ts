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
    /** Longest wait for a slow caller to take more. */
    callerStallMs: number;
    /** Called when the caller takes nothing for that long. */
    onStall: () => void;
}

/** Writes an answer to the caller as server-sent events, one token each. */
export class ChatStream {
    private isOpen = false;
    private readonly createdSeconds: number;

    private constructor(private readonly options: ChatStreamOptions) {
        this.createdSeconds = Math.floor(options.clock.now().getTime() / 1000);
    }

    /** Creates a stream. Nothing is sent before the first token, so that a refusal can still be a plain answer. */
    static create(options: ChatStreamOptions): ChatStream {
        return new ChatStream(options);
    }

    /** True once a part of the answer was sent. */
    get hasBegun(): boolean {
        return this.isOpen;
    }

    /** Sends a token; resolves once the caller can take more. */
    async token(text: string): Promise<void> {
        await this.write(this.chunk({ delta: { content: text } }));
    }

    /** Ends a whole answer. */
    finish(finishReason: "stop" | "length"): void {
        this.open();
        this.raw.end(`${this.chunk({ delta: {}, finish_reason: finishReason })}data: [DONE]\n\n`);
    }

    /** Ends an answer that broke for good. */
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
        await this.drained();
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

    private async drained(): Promise<void> {
        const settled = new AbortController();
        const settle = () => settled.abort();
        this.raw.once("drain", settle);
        this.raw.once("close", settle);
        await this.options.clock.sleep(this.options.callerStallMs, settled.signal);
        this.raw.off("drain", settle);
        this.raw.off("close", settle);
        if (!settled.signal.aborted) {
            this.raw.destroy();
            this.options.onStall();
        }
    }
}
