import type { CallerRefusal } from "../../src/model/CallerRefusal.js";
import type { CallerResponse } from "../../src/ports/CallerResponse.js";
import type { ResponseHead } from "../../src/ports/ResponseHead.js";

/** Keeps what a caller gets. */
export class RecordedResponse implements CallerResponse {
    readonly controller = new AbortController();
    status: number | undefined;
    text = "";
    ending: "open" | "complete" | "broken-off" = "open";
    refusal: CallerRefusal | undefined;

    /** Creates a response of which nothing has been sent. */
    static create(): RecordedResponse {
        return new RecordedResponse();
    }

    /** Aborts when the caller has gone. */
    get disconnected(): AbortSignal {
        return this.controller.signal;
    }

    /** True once the head of an answer has been sent. */
    get hasStarted(): boolean {
        return this.status !== undefined;
    }

    /** Keeps a whole answer. */
    sendComplete(head: ResponseHead, body: Buffer): void {
        this.start(head);
        this.text += body.toString();
        this.end();
    }

    /** Keeps the head. */
    start(head: ResponseHead): void {
        if (this.hasStarted) {
            throw new Error("a second answer to one request");
        }
        this.status = head.status;
    }

    /** Keeps a part. */
    async write(part: Buffer): Promise<void> {
        this.text += part.toString();
    }

    /** Ends the answer. */
    end(): void {
        this.ending = "complete";
    }

    /** Breaks the answer off. */
    abort(): void {
        this.ending = "broken-off";
    }

    /** Keeps a refusal. */
    refuse(refusal: CallerRefusal): void {
        this.refusal = refusal;
        this.ending = "complete";
    }
}
